#include "boragehollow/common/random_source.hpp"
#include "fixture.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace boragehollow::admission {
namespace {

using config::work_class;

struct simulation_result {
    double short_p99_ms = 0;
    std::size_t short_refused = 0;
    std::size_t short_total = 0;
    std::size_t long_granted = 0;
};

/// Target with 6 slots under 300 short calls of 5 ms and 4 long uploads of 2 s per second, for 60 s.
class target_simulation {
public:
    explicit target_simulation(std::uint32_t reserved) {
        config::admission_policy policy;
        policy.reserved_short_slots = reserved;
        policy.adaptive_limit = false;
        m_controller.update_policy(policy, m_now);
        m_controller.update_target(local_target{"desk", 6, target_state::ready}, m_now);
    }

    simulation_result run() {
        schedule_arrivals(work_class::short_work, 300);
        schedule_arrivals(work_class::long_work, 4);
        while (!m_events.empty()) {
            const auto next = m_events.begin();
            const auto wakeup = m_controller.next_wakeup();
            if (wakeup && *wakeup < next->first) {
                m_now = std::max(m_now, *wakeup);
                record_effects(m_controller.tick(m_now));
                continue;
            }
            m_now = next->first;
            const admission_request request = next->second;
            m_events.erase(next);
            step(request);
        }
        std::sort(m_short_waits.begin(), m_short_waits.end());
        m_result.short_p99_ms = m_short_waits.at(m_short_waits.size() * 99 / 100);
        return m_result;
    }

private:
    static milliseconds service_time(work_class work) {
        return work == work_class::long_work ? milliseconds(2'000) : milliseconds(5);
    }

    void schedule_arrivals(work_class work, double per_second) {
        double at = 0;
        while ((at += -std::log(1.0 - m_random.fraction()) / per_second) < 60) {
            const steady_time time = m_now + microseconds(static_cast<std::int64_t>(at * 1e6));
            const admission_id id{++m_last_id};
            m_events.emplace(time, admission_request{id, std::to_string(id.value), "desk", "c", work, true,
                                                     std::nullopt, time + seconds(5)});
        }
    }

    /// Processes the arrival of a call, or the end of a granted one.
    void step(const admission_request& request) {
        const auto started = m_started.find(request.id.value);
        if (started != m_started.end()) {
            const auto latency = std::chrono::duration_cast<microseconds>(m_now - started->second);
            record_effects(m_controller.finish(request.id, latency, call_result::answered, m_now));
            return;
        }
        m_arrivals.emplace(request.id.value, std::pair(m_now, request));
        m_result.short_total += request.work == work_class::short_work ? 1 : 0;
        record_effects(m_controller.submit(request, m_now));
    }

    void record_effects(const admission_controller::effects& effects) {
        for (const effect& one : effects) {
            const admission_id id = std::visit([](const auto& concrete) { return concrete.id; }, one);
            const auto& [arrived, request] = m_arrivals.at(id.value);
            const bool is_short = request.work == work_class::short_work;
            if (std::holds_alternative<refused>(one)) {
                m_result.short_refused += is_short ? 1 : 0;
                continue;
            }
            m_started.emplace(id.value, m_now);
            m_events.emplace(m_now + service_time(request.work), request);
            if (is_short) {
                m_short_waits.push_back(std::chrono::duration<double, std::milli>(m_now - arrived).count());
            } else {
                ++m_result.long_granted;
            }
        }
    }

    admission_controller m_controller{admission_settings{}};
    common::random_source m_random{11};
    steady_time m_now = steady_time(hours(1));
    std::uint64_t m_last_id = 0;
    std::multimap<steady_time, admission_request> m_events;
    std::map<std::uint64_t, std::pair<steady_time, admission_request>> m_arrivals;
    std::map<std::uint64_t, steady_time> m_started;
    std::vector<double> m_short_waits;
    simulation_result m_result;
};

TEST(queueing_simulation, reserved_slots_keep_short_calls_from_waiting_behind_long_calls) {
    const simulation_result without = target_simulation(0).run();
    const simulation_result with = target_simulation(2).run();
    std::printf(
        "short calls beside long ones, 99th percentile wait and refusals: without reserved slots %.1f ms, "
        "%zu of %zu; with 2 reserved %.1f ms, %zu of %zu; long calls run %zu and %zu\n",
        without.short_p99_ms, without.short_refused, without.short_total, with.short_p99_ms,
        with.short_refused, with.short_total, without.long_granted, with.long_granted);
    EXPECT_EQ(with.short_refused, 0U);
    // 2 slots serve 300 calls of 5 ms per second at a utilization of 0.75, so waits stay within a few service
    // times.
    EXPECT_LT(with.short_p99_ms, 25.0);
    EXPECT_GT(without.short_p99_ms, 10 * with.short_p99_ms);
    EXPECT_GT(with.long_granted, 0U);
}

} // namespace
} // namespace boragehollow::admission
