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

/// Ten targets with 6 slots and 5 ms of work per call, under 3,000 calls per second for 20 s, spread over the
/// senders. After 3 s one target takes ten times as long. Targets queue calls beyond their slots. Ejection is
/// disabled, so that only the balancing policies are compared.
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
        target& state = m_fleet.at(index);
        while (state.in_use < 6 && !state.queue.empty()) {
            const call next = state.queue.front();
            state.queue.pop_front();
            ++state.in_use;
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
            target& state = m_fleet.at(index);
            --state.in_use;
            const auto latency = std::chrono::duration_cast<microseconds>(now - done.arrived);
            const auto queued = static_cast<std::uint32_t>(state.queue.size());
            const auto load = m_report ? m_report(index, state.in_use, queued) : std::nullopt;
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
    std::printf("one slow target of ten, %s: p50 %.1f ms, p99 %.1f ms, %.2f%% of calls sent to it\n", name,
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
    EXPECT_GT(peak.slow_share, 0) << "the slow target is retried occasionally";
}

// Guards against repeated discovery of the slow target: with many daemons and little traffic each, every one
// has to measure it itself.
TEST(slow_target_simulation, many_senders_with_few_calls_each_avoid_a_slow_target) {
    const auto true_report = [](std::size_t, std::uint32_t in_use, std::uint32_t queued) {
        return std::optional(piggybacked_load{queued, in_use, 6});
    };
    const latencies random = target_fleet_simulation(config::random_choice{}, true_report, 70).run();
    const latencies peak = target_fleet_simulation(config::peak_ewma{}, true_report, 70).run();
    print("random, 70 senders", random);
    print("peak EWMA, 70 senders", peak);
    EXPECT_LT(peak.slow_share, 0.02);
    EXPECT_LT(peak.p99_ms * 10, random.p99_ms);
}

// Guards against trusting load reports: the slow target reports that it is idle, all others report correctly.
TEST(slow_target_simulation, a_false_idle_report_does_not_attract_calls_to_a_slow_target) {
    const auto false_report = [](std::size_t index, std::uint32_t in_use, std::uint32_t queued) {
        return std::optional(index == 3 ? piggybacked_load{0, 0, 6} : piggybacked_load{queued, in_use, 6});
    };
    const latencies result = target_fleet_simulation(config::peak_ewma{}, false_report).run();
    print("peak EWMA with a false report", result);
    EXPECT_LT(result.slow_share, 0.02);
}

// Guards against excluding a healthy target that reports overload: the bounded weight of a report keeps it in
// use.
TEST(slow_target_simulation, a_false_overload_report_does_not_exclude_a_healthy_target) {
    std::array<std::size_t, 10> responses{};
    const auto false_report = [&](std::size_t index, std::uint32_t in_use, std::uint32_t queued) {
        ++responses.at(index);
        return std::optional(index == 5 ? piggybacked_load{1'000, 6, 6}
                                        : piggybacked_load{queued, in_use, 6});
    };
    target_fleet_simulation(config::peak_ewma{}, false_report).run();
    EXPECT_GT(responses[5] * 10, responses[4]);
}

} // namespace
} // namespace boragehollow::balancing
