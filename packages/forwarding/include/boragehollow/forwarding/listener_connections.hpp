#pragma once

#include "boragehollow/forwarding/http_session.hpp"
#include "boragehollow/resources/connection_limit.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <map>
#include <memory>
#include <string>

namespace boragehollow::forwarding {

struct connection_settings {
    std::size_t max_callers = 1'024;
    std::size_t max_callers_per_address = 1'024;
    std::size_t max_peers = 1'024;
};

/// The sessions of one listener, within its limits on connections. Used on the forwarder's thread only.
class listener_connections {
public:
    listener_connections(std::string listener, const resources::connection_limit_settings& settings,
                         const telemetry::event_log& events, telemetry::metric_registry& metrics);

    bool has_room() const { return m_limit.may_accept(); }

    /// Closes the connection that has been unused for longest, for one that waits to be accepted. False when
    /// all are in use, so that the other one has to wait.
    bool make_room(common::steady_time now);

    /// Starts a session, or closes the connection when its address has too many.
    void add(tcp::socket socket, const std::shared_ptr<const session_callbacks>& callbacks);

    /// Enforces the sessions' timeouts and forgets those that are closed.
    void maintain(common::steady_time now);

    void close_idle();
    void close_all();

private:
    void remove_closed();
    void report(std::string_view reason);

    std::string m_listener;
    resources::connection_limit m_limit;
    std::map<std::shared_ptr<http_session>, std::string> m_sessions; ///< With the address of the client.
    const telemetry::event_log& m_events;
    common::steady_time m_last_report;
    telemetry::gauge& m_open;
    telemetry::counter& m_refused;
    telemetry::counter& m_closed_for_others;
};

} // namespace boragehollow::forwarding
