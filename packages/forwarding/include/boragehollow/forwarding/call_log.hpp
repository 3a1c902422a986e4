#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <cstdint>
#include <vector>

namespace boragehollow::forwarding {

/// Rate-limited log of decisions on calls. Events above the rate are dropped and counted; the count is
/// logged once a second. Not thread-safe.
class call_log {
public:
    explicit call_log(const telemetry::event_log& events) : m_events(events) {}

    void write(telemetry::event_number number, std::vector<telemetry::event_field> fields,
               common::steady_time now);

private:
    void refill(common::steady_time now);

    const telemetry::event_log& m_events;
    common::steady_time m_last_refill;
    double m_tokens = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace boragehollow::forwarding
