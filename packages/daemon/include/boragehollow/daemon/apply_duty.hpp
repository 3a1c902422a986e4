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
    /// A newer state is in force; called once for several records that came together. Returns false when a
    /// receiver had no room: it is called again shortly, since a lost notice would leave the daemon not
    /// ready.
    std::function<bool(codec::snapshot_pointer)> applied;
    /// What came does not follow on the state, or could not be read.
    std::function<void()> refused;
};

/// Thread that owns the configuration state. Messages wait for room in its ring.
class apply_duty {
public:
    apply_duty(std::size_t ring_size, apply_sinks sinks, const telemetry::event_log& events);
    ~apply_duty();

    /// Ends the thread. Duties that send to each other are all stopped before any of them is destroyed.
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
    common::revision m_notified_version; ///< Version that `applied` has passed on.
    bool m_schema_reported = false;
    apply_sinks m_sinks;
    const telemetry::event_log& m_events;
    common::bounded_ring<apply_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
