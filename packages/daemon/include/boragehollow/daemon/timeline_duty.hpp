#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <cstddef>
#include <optional>
#include <variant>

namespace boragehollow::daemon {

struct query_timeline {
    std::optional<common::hybrid_time> since;
    std::size_t limit = 1'000;
    common::reply_slot<telemetry::timeline_page> reply;
};

using timeline_message = std::variant<telemetry::timeline_event, query_timeline>;

/// Thread that owns the buffer of recent events of this daemon.
class timeline_duty {
public:
    timeline_duty(std::size_t ring_size, std::size_t kept_events, std::size_t kept_bytes);
    ~timeline_duty();

    /// Processes the queued messages and joins the thread.
    void stop();

    common::bounded_ring<timeline_message>& ring() { return m_ring; }

    /// Sink for the event log. Never blocks; displaces the oldest message when the ring is full.
    void record(telemetry::timeline_event event);

    /// Sends the query and waits for the reply. Empty when the duty does not reply before the deadline.
    std::optional<telemetry::timeline_page> query(std::optional<common::hybrid_time> since, std::size_t limit,
                                                  common::steady_time deadline);

private:
    void run();

    telemetry::timeline_buffer m_buffer;
    common::bounded_ring<timeline_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
