#include "boragehollow/forwarding/call_log.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragehollow::forwarding {

namespace {

/// Twice the calls of a daemon at the target size, each with a line on both sides. A line costs about 10 us.
constexpr double lines_per_second = 100;
constexpr double burst_lines = 400;
constexpr std::chrono::seconds report_interval{1};

} // namespace

void call_log::refill(common::steady_time now) {
    const std::chrono::duration<double> elapsed = now - m_refilled;
    m_lines = std::min(burst_lines, m_lines + elapsed.count() * lines_per_second);
    if (m_suppressed > 0 && elapsed > report_interval) {
        m_events.emit(telemetry::event_number::call_lines_suppressed, {{"lines", m_suppressed}});
        m_suppressed = 0;
    }
    m_refilled = now;
}

void call_log::write(telemetry::event_number number, std::vector<telemetry::event_field> fields,
                     common::steady_time now) {
    if (m_lines < 1 || m_suppressed > 0) {
        // Refilled only when needed, so that a quiet log costs no clock arithmetic for each line.
        refill(now);
    }
    if (m_lines < 1) {
        ++m_suppressed;
        return;
    }
    m_lines -= 1;
    m_events.emit(number, std::move(fields));
}

} // namespace boragehollow::forwarding
