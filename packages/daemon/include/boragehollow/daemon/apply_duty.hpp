#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/config/config_state.hpp"
#include "boragehollow/daemon/spreading_messages.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <cstddef>
#include <functional>
#include <string>

namespace boragehollow::daemon {

struct apply_sinks {
    /// A newer state was applied; called once for a batch of records. Returns false when a receiver's ring
    /// was full. The duty then calls it again, since a lost notification would leave the daemon not ready.
    std::function<bool(codec::snapshot_pointer)> applied;
    /// The records do not continue the current state, or the snapshot could not be decoded.
    std::function<void()> failed;
};

/// Thread that owns the configuration state. Senders block while its ring is full.
class apply_duty {
public:
    apply_duty(std::size_t ring_size, apply_sinks sinks, const telemetry::event_log& events);
    ~apply_duty();

    /// Joins the thread. All duties that send to each other must be stopped before any of them is destroyed.
    void stop();

    common::bounded_ring<apply_message>& ring() { return m_ring; }

private:
    void run();
    void notify_applied();
    void handle(const spreading::apply_records& message);
    void handle(const spreading::apply_snapshot& message);
    bool apply(const spreading::log_record& record);
    tl::expected<config::verdict, config::apply_error> decide(const spreading::log_record& record);
    void report(common::revision at, const config::verdict& result) const;
    void report(const config::apply_error& reason);

    config::config_state m_state;
    common::revision m_notified_version; ///< Last version for which `applied` succeeded.
    bool m_schema_reported = false;
    apply_sinks m_sinks;
    const telemetry::event_log& m_events;
    common::bounded_ring<apply_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
