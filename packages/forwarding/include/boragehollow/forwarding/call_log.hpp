#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <cstdint>
#include <vector>

namespace boragehollow::forwarding {

/// Writes one event for each decision on a call, up to a bounded rate. What goes beyond it is counted, and
/// the count is written once a second. Used on one thread.
class call_log {
public:
    explicit call_log(const telemetry::event_log& events) : m_events(events) {}

    void write(telemetry::event_number number, std::vector<telemetry::event_field> fields,
               common::steady_time now);

private:
    void refill(common::steady_time now);

    const telemetry::event_log& m_events;
    common::steady_time m_refilled;
    double m_lines = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace boragehollow::forwarding
