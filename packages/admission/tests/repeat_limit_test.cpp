#include "boragehollow/admission/admission_controller.hpp"
#include "boragehollow/admission/repeat_limit.hpp"
#include "boragehollow/common/random_source.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace boragehollow::admission {
namespace {

using namespace std::chrono_literals;

constexpr repeat_ratios ratios{0.1, 0.16};

int count_allowed(repeat_limit& limit, steady_time now) {
    int count = 0;
    while (limit.allows_retry(now)) {
        limit.record_retry(now);
        ++count;
    }
    return count;
}

// Guards against retries beyond the ratio of first arrivals, and against a limit that never recovers.
TEST(repeat_limit, allows_a_ratio_of_the_first_arrivals_in_the_window) {
    repeat_limit limit(ratios);
    steady_time now(1h);
    for (int i = 0; i < 100; ++i) {
        limit.record_first(0, now);
    }
    EXPECT_EQ(count_allowed(limit, now), 10);
    now += 11s;
    EXPECT_EQ(count_allowed(limit, now), 1);
}

// Guards against retries on top of calls that repeated calls have made: both are repeated work.
TEST(repeat_limit, inherited_repeats_reduce_the_allowed_retries) {
    repeat_limit limit(ratios);
    const steady_time now(1h);
    for (int i = 0; i < 100; ++i) {
        limit.record_first(0.12, now);
    }
    EXPECT_EQ(count_allowed(limit, now), 4);
}

/// Two services in a row on 300 hosts, each with its own admission controller: the calls of `desk` make calls
/// to `drawings`. Targets that shed load receive a call without running it.
class service_chain {
public:
    struct service_record {
        std::vector<steady_time> requests;
        std::vector<steady_time> repeats; ///< Arrivals of retries, and of calls made by retried calls.
    };

    service_chain(repeat_ratios limits, std::uint64_t seed) : m_random(seed) {
        admission_settings settings;
        settings.repeats = limits;
        for (std::size_t i = 0; i < host_count; ++i) {
            m_hosts.push_back({i < desk_hosts ? "desk" : "drawings", settings, nullptr, i % 5 < 2});
            restart(m_hosts.back());
        }
    }

    void run() {
        const std::chrono::microseconds interval(1'000'000 / calls_per_second);
        for (steady_time at = start; at < start + duration; at += interval) {
            schedule(at, [this] { send(new_call("desk", false, 0), 0); });
        }
        // A tenth of the daemons restarts while targets shed, and forgets what it has counted.
        schedule(start + 20s, [this] {
            for (std::size_t i = 0; i < m_hosts.size(); i += 10) {
                restart(m_hosts[i]);
            }
        });
        while (!m_events.empty()) {
            event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
    }

    /// Largest number of repeats of a window beyond a fifth of its service's calls. The calls are counted in
    /// the window, the one before it or the one half a window before it, whichever has most.
    double max_excess(const std::string& service) const {
        const service_record& record = m_records.at(service);
        double worst = 0;
        for (steady_time begin = start; begin < start + duration; begin += 250ms) {
            const auto requests = std::max({count(record.requests, begin), count(record.requests, begin - 5s),
                                            count(record.requests, begin - 10s)});
            worst = std::max(worst, count(record.repeats, begin) - 0.2 * requests);
        }
        return worst;
    }

    std::size_t repeats(const std::string& service) const { return m_records.at(service).repeats.size(); }

private:
    static constexpr std::size_t host_count = 300;
    static constexpr std::size_t desk_hosts = 245;
    static constexpr int calls_per_second = 2'000;
    static constexpr int max_attempts = 3;
    static constexpr steady_time start{1h};
    static constexpr std::chrono::seconds duration{40};

    struct host {
        std::string service;
        admission_settings settings;
        std::unique_ptr<admission_controller> gate;
        bool sheds = false; ///< The target sheds half of its calls between the seconds 10 and 30.
    };

    struct call {
        std::uint64_t id = 0;
        std::string service;
        bool repeated = false;
        double inherited = 0;
    };

    struct event {
        steady_time at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    static double count(const std::vector<steady_time>& times, steady_time begin) {
        const auto first = std::lower_bound(times.begin(), times.end(), begin);
        return static_cast<double>(std::lower_bound(first, times.end(), begin + 10s) - first);
    }

    void schedule(steady_time at, std::function<void()> action) {
        m_events.push({at, m_next_event++, std::move(action)});
    }

    void restart(host& restarted) {
        restarted.gate = std::make_unique<admission_controller>(restarted.settings);
        config::admission_policy policy;
        policy.adaptive_limit = false;
        restarted.gate->update_policy(policy, m_now);
        restarted.gate->update_target(local_target{restarted.service, 64, target_state::ready}, m_now);
    }

    call new_call(const std::string& service, bool repeated, double inherited) {
        m_records[service].requests.push_back(m_now);
        return {m_next_id++, service, repeated, inherited};
    }

    void send(const call& sent, int attempt) {
        const bool desk = sent.service == "desk";
        const std::size_t index =
            desk ? m_random.index(desk_hosts) : desk_hosts + m_random.index(host_count - desk_hosts);
        host& target = m_hosts[index];
        admission_request request;
        request.id = {m_next_id++};
        request.call_id = std::to_string(request.id.value);
        request.service = sent.service;
        request.idempotent = true;
        request.deadline = m_now + 5s;
        request.retry = attempt > 0;
        request.inherited_repeats = sent.inherited;
        const admission_id id = request.id;
        const auto effects = target.gate->submit(std::move(request), m_now);
        if (effects.empty() || !std::holds_alternative<granted>(effects.front())) {
            return;
        }
        const bool repeated = sent.repeated || attempt > 0;
        if (repeated) {
            m_records[sent.service].repeats.push_back(m_now);
        }
        const bool shedding = target.sheds && m_now > start + 10s && m_now < start + 30s;
        if (shedding && m_random.fraction() < 0.5) {
            schedule(m_now + 2ms, [this, index, id] { finish(index, id, call_result::shed); });
            if (attempt + 1 < max_attempts) {
                schedule(m_now + 4ms, [this, sent, attempt] { send(sent, attempt + 1); });
            }
            return;
        }
        const std::chrono::milliseconds work(desk ? 190 : 55);
        schedule(m_now + work, [this, index, id] { finish(index, id, call_result::answered); });
        if (!desk) {
            return;
        }
        for (const std::chrono::milliseconds after : {40ms, 120ms}) {
            schedule(m_now + after, [this, index, repeated] {
                send(new_call("drawings", repeated, m_hosts[index].gate->repeated_share()), 0);
            });
        }
    }

    void finish(std::size_t index, admission_id id, call_result result) {
        m_hosts[index].gate->finish(id, 1ms, result, m_now);
    }

    common::random_source m_random;
    steady_time m_now = start;
    std::vector<host> m_hosts;
    std::priority_queue<event> m_events;
    std::map<std::string, service_record> m_records;
    std::uint64_t m_next_event = 0;
    std::uint64_t m_next_id = 1;
};

// Guards against more repeated work at a service than a fifth of its calls while its targets shed load, when
// 300 daemons send the calls, the calls that retried calls make count too, and some daemons restart.
TEST(repeat_limit, holds_for_the_sum_of_300_daemons_and_two_services_in_a_row) {
    for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE(seed);
        service_chain unlimited({}, seed);
        unlimited.run();
        EXPECT_GT(unlimited.max_excess("drawings"), 0) << "the load does not reach the bound";
        service_chain limited(ratios, seed);
        limited.run();
        EXPECT_LE(limited.max_excess("desk"), 0);
        EXPECT_LE(limited.max_excess("drawings"), 0);
        EXPECT_GT(limited.repeats("desk"), 1'000U);
        EXPECT_GT(limited.repeats("drawings"), 1'000U);
    }
}

} // namespace
} // namespace boragehollow::admission
