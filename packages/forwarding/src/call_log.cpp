#include "boragehollow/forwarding/call_log.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragehollow::forwarding {

namespace {

/// Twice the call rate of a daemon at the planned deployment size, where each call is logged by the caller's
/// and by the target's daemon. A line costs about 10 us.
constexpr double max_lines_per_second = 100;
constexpr double max_burst_lines = 400;
constexpr std::chrono::seconds report_interval{1};

} // namespace

void call_log::refill(common::steady_time now) {
    const std::chrono::duration<double> elapsed = now - m_last_refill;
    m_tokens = std::min(max_burst_lines, m_tokens + elapsed.count() * max_lines_per_second);
    if (m_suppressed > 0 && elapsed > report_interval) {
        m_events.emit(telemetry::event_number::call_lines_suppressed, {{"lines", m_suppressed}});
        m_suppressed = 0;
    }
    m_last_refill = now;
}

void call_log::write(telemetry::event_number number, std::vector<telemetry::event_field> fields,
                     common::steady_time now) {
    if (m_tokens < 1 || m_suppressed > 0) {
        // Refilled only when needed, which saves the clock arithmetic for each line below the rate.
        refill(now);
    }
    if (m_tokens < 1) {
        ++m_suppressed;
        return;
    }
    m_tokens -= 1;
    m_events.emit(number, std::move(fields));
}

} // namespace boragehollow::forwarding
