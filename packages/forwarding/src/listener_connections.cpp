#include "boragehollow/forwarding/listener_connections.hpp"

#include <utility>

namespace boragehollow::forwarding {

namespace {

/// The event about connections is written at most once in this time for each listener.
constexpr std::chrono::seconds report_interval{10};

/// A connection that was just accepted, or got a response, may have a request under way.
constexpr std::chrono::seconds min_unused_time{1};

std::string address_of(const tcp::socket& socket) {
    error_code error;
    const auto remote = socket.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

} // namespace

listener_connections::listener_connections(std::string listener,
                                           const resources::connection_limit_settings& settings,
                                           const telemetry::event_log& events,
                                           telemetry::metric_registry& metrics)
    : m_listener(std::move(listener)), m_limit(settings), m_events(events),
      m_open(metrics.add_gauge("boragehollow_connections", "Open connections of clients",
                               {{"listener", m_listener}})),
      m_refused(metrics.add_counter("boragehollow_connections_refused_total",
                                    "Connections closed at once, since their address has too many",
                                    {{"listener", m_listener}})),
      m_closed_for_others(metrics.add_counter("boragehollow_connections_closed_for_others_total",
                                              "Unused connections closed to accept another one",
                                              {{"listener", m_listener}})) {}

bool listener_connections::make_room(common::steady_time now) {
    remove_closed();
    if (m_limit.may_accept()) {
        return true;
    }
    report("total");
    std::shared_ptr<http_session> longest_unused;
    for (const auto& [session, address] : m_sessions) {
        if (!session->unused() || now - session->last_activity() < min_unused_time) {
            continue;
        }
        if (!longest_unused || session->last_activity() < longest_unused->last_activity()) {
            longest_unused = session;
        }
    }
    if (!longest_unused) {
        return false;
    }
    longest_unused->close();
    m_closed_for_others.add();
    remove_closed();
    return m_limit.may_accept();
}

void listener_connections::add(tcp::socket socket,
                               const std::shared_ptr<const session_callbacks>& callbacks) {
    std::string address = address_of(socket);
    if (std::holds_alternative<resources::address_limit_reached>(m_limit.accept(address))) {
        m_refused.add();
        report("address");
        return;
    }
    auto session = std::make_shared<http_session>(std::move(socket), callbacks);
    m_sessions.emplace(session, std::move(address));
    m_open.set(static_cast<std::int64_t>(m_limit.connections()));
    session->start();
}

void listener_connections::maintain(common::steady_time now) {
    for (const auto& [session, address] : m_sessions) {
        session->enforce_timeouts(now);
    }
    remove_closed();
}

void listener_connections::remove_closed() {
    std::erase_if(m_sessions, [this](const auto& entry) {
        if (!entry.first->closed()) {
            return false;
        }
        m_limit.release(entry.second);
        return true;
    });
    m_open.set(static_cast<std::int64_t>(m_limit.connections()));
}

void listener_connections::close_idle() {
    for (const auto& [session, address] : m_sessions) {
        session->close_if_idle();
    }
}

void listener_connections::close_all() {
    for (const auto& [session, address] : m_sessions) {
        session->close();
    }
}

void listener_connections::report(std::string_view reason) {
    const common::steady_time now = common::steady_clock::now();
    if (now - m_last_report < report_interval) {
        return;
    }
    m_last_report = now;
    m_events.emit(telemetry::event_number::connection_limit_reached,
                  {{"listener", m_listener}, {"reason", reason}, {"connections", m_limit.connections()}});
}

} // namespace boragehollow::forwarding
