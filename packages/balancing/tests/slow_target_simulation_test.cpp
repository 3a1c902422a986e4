#include "fixture.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace boragehollow::balancing {
namespace {

struct latencies {
    double p50_ms = 0;
    double p99_ms = 0;
    double slow_share = 0;
};

/// Ten targets of 6 slots with 5 ms of work a call. From the fourth of 20 s on, one takes ten times as long.
/// Calls come at 3,000 a second, spread over the senders. A target queues what exceeds its slots. Ejection is
/// off, so that only the policy is compared.
class target_fleet_simulation {
public:
    using reporter = std::function<std::optional<piggybacked_load>(std::size_t target, std::uint32_t in_use,
                                                                   std::uint32_t queued)>;

    explicit target_fleet_simulation(const config::balancing_policy& balancing, reporter report = {},
                                     std::uint64_t senders = 1)
        : m_report(std::move(report)) {
        config::service_policy policy;
        policy.name = "desk";
        policy.balancing = balancing;
        policy.ejection.consecutive_failures = 0;
        policy.ejection.latency_factor = 0;
        std::vector<target_view> views;
        views.reserve(target_count);
        for (int i = 0; i < target_count; ++i) {
            views.push_back(make_target(i));
        }
        for (std::uint64_t i = 0; i < senders; ++i) {
            balancer& sender =
                m_senders.emplace_back(balancer_settings{"near"}, common::random_source(18 + i));
            sender.update_policy(policy, {}, m_start);
            sender.update_targets("desk", views, m_start);
        }
    }

    latencies run() {
        double at = 0;
        while ((at += -std::log(1.0 - m_random.fraction()) / 3'000) < 20) {
            const steady_time time = m_start + microseconds(static_cast<std::int64_t>(at * 1e6));
            finish_until(time);
            arrive(time);
        }
        finish_until(m_start + hours(1));
        std::sort(m_latencies.begin(), m_latencies.end());
        const auto total = static_cast<double>(m_latencies.size());
        return {m_latencies[m_latencies.size() / 2], m_latencies[m_latencies.size() * 99 / 100],
                static_cast<double>(m_slow_calls) / total};
    }

private:
    static constexpr int target_count = 10;
    static constexpr std::size_t slow_target = 3;

    struct call {
        std::size_t sender = 0;
        attempt_id id;
        steady_time arrived;
    };
    struct target {
        std::uint32_t in_use = 0;
        std::deque<call> queue;
    };

    void arrive(steady_time now) {
        attempt_request request;
        request.service = "desk";
        request.idempotent = true;
        request.deadline = now + hours(2);
        const std::size_t sender = m_random.index(m_senders.size());
        const auto choice = m_senders[sender].choose(request, now);
        const std::size_t index = std::stoul(choice->host.substr(1));
        m_fleet.at(index).queue.push_back({sender, choice->id, now});
        start(index, now);
    }

    void start(std::size_t index, steady_time now) {
        target& one = m_fleet.at(index);
        while (one.in_use < 6 && !one.queue.empty()) {
            const call next = one.queue.front();
            one.queue.pop_front();
            ++one.in_use;
            const bool slowed = index == slow_target && now - m_start >= seconds(3);
            const common::fractional_microseconds mean = slowed ? milliseconds(50) : milliseconds(5);
            const auto work = std::chrono::duration_cast<microseconds>(mean * (0.5 + m_random.fraction()));
            m_ends.emplace(now + work, std::pair(index, next));
        }
    }

    void finish_until(steady_time limit) {
        while (!m_ends.empty() && m_ends.begin()->first <= limit) {
            const steady_time now = m_ends.begin()->first;
            const auto [index, done] = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            target& one = m_fleet.at(index);
            --one.in_use;
            const auto latency = std::chrono::duration_cast<microseconds>(now - done.arrived);
            const auto queued = static_cast<std::uint32_t>(one.queue.size());
            const auto load = m_report ? m_report(index, one.in_use, queued) : std::nullopt;
            m_senders[done.sender].record_result({done.id, attempt_outcome::answered, latency, load}, now);
            if (done.arrived - m_start >= seconds(3)) {
                m_latencies.push_back(static_cast<double>(latency.count()) / 1'000);
                m_slow_calls += index == slow_target ? 1 : 0;
            }
            start(index, now);
        }
    }

    steady_time m_start = steady_time(hours(2));
    common::random_source m_random{17};
    std::vector<balancer> m_senders;
    reporter m_report;
    std::array<target, target_count> m_fleet;
    std::multimap<steady_time, std::pair<std::size_t, call>> m_ends;
    std::vector<double> m_latencies;
    std::size_t m_slow_calls = 0;
};

void print(const char* name, const latencies& result) {
    std::printf("one slow target of ten, %s: p50 %.1f ms, p99 %.1f ms, %.2f%% of calls on it\n", name,
                result.p50_ms, result.p99_ms, 100 * result.slow_share);
}

TEST(slow_target_simulation, peak_ewma_avoids_a_slow_target) {
    const latencies random = target_fleet_simulation(config::random_choice{}).run();
    const latencies rotating = target_fleet_simulation(config::round_robin{}).run();
    const latencies loaded = target_fleet_simulation(config::least_loaded{}).run();
    const latencies peak = target_fleet_simulation(config::peak_ewma{}).run();
    print("random", random);
    print("round robin", rotating);
    print("least loaded", loaded);
    print("peak EWMA", peak);
    EXPECT_LT(peak.slow_share, 0.02);
    EXPECT_LT(peak.p99_ms * 10, random.p99_ms);
    EXPECT_LT(peak.p99_ms * 10, rotating.p99_ms);
    EXPECT_GT(peak.slow_share, 0) << "the slow target is tried again now and then";
}

// Many daemons with little traffic each: every one of them has to meet the slow target to learn of it.
TEST(slow_target_simulation, many_senders_with_few_calls_each_avoid_a_slow_target) {
    const auto truth = [](std::size_t, std::uint32_t in_use, std::uint32_t queued) {
        return std::optional(piggybacked_load{queued, in_use, 6});
    };
    const latencies random = target_fleet_simulation(config::random_choice{}, truth, 70).run();
    const latencies peak = target_fleet_simulation(config::peak_ewma{}, truth, 70).run();
    print("random, 70 senders", random);
    print("peak EWMA, 70 senders", peak);
    EXPECT_LT(peak.slow_share, 0.02);
    EXPECT_LT(peak.p99_ms * 10, random.p99_ms);
}

// The slow target reports that it is idle; all others report the truth.
TEST(slow_target_simulation, a_report_of_no_load_does_not_attract_calls_to_a_slow_target) {
    const auto lie = [](std::size_t index, std::uint32_t in_use, std::uint32_t queued) {
        return std::optional(index == 3 ? piggybacked_load{0, 0, 6} : piggybacked_load{queued, in_use, 6});
    };
    const latencies result = target_fleet_simulation(config::peak_ewma{}, lie).run();
    print("peak EWMA with a false report", result);
    EXPECT_LT(result.slow_share, 0.02);
}

// A healthy target reports that it is overloaded: the bounded weight of the hint keeps it in use.
TEST(slow_target_simulation, a_report_of_high_load_does_not_exclude_a_healthy_target) {
    std::array<std::size_t, 10> answers{};
    const auto lie = [&](std::size_t index, std::uint32_t in_use, std::uint32_t queued) {
        ++answers.at(index);
        return std::optional(index == 5 ? piggybacked_load{1'000, 6, 6}
                                        : piggybacked_load{queued, in_use, 6});
    };
    target_fleet_simulation(config::peak_ewma{}, lie).run();
    EXPECT_GT(answers[5] * 10, answers[4]);
}

} // namespace
} // namespace boragehollow::balancing
