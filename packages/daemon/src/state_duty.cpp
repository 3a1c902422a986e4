#include "boragehollow/daemon/state_duty.hpp"

#include <chrono>
#include <utility>

namespace boragehollow::daemon {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

/// The platform delivers a version to all daemons within a few hundred milliseconds; a daemon that lacks it
/// for longer asks its peer. Well below the 2 s in which a version has to be in force.
constexpr milliseconds patience{800};
constexpr milliseconds fetch_interval{700};

/// A peer that does not give its document may be gone; the next sight of a newer version names another one.
constexpr unsigned most_fetches = 4;

} // namespace

state_duty::state_duty(document_decoder decode, state_sinks sinks, std::size_t ring_size,
                       const telemetry::event_log& events)
    : m_decode(std::move(decode)), m_sinks(std::move(sinks)), m_events(events), m_ring(ring_size),
      m_thread("state", [this](const std::stop_token&) { run(); }) {}

state_duty::~state_duty() {
    stop();
}

void state_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void state_duty::run() {
    while (true) {
        auto message = m_newer ? m_ring.pop_until(m_fetch_at) : m_ring.pop();
        const common::steady_time now = common::steady_clock::now();
        if (message) {
            std::visit([&](auto& concrete) { handle(concrete, now); }, *message);
        } else if (m_ring.closed()) {
            return;
        }
        fetch_if_due(now);
    }
}

void state_duty::handle(document_received& message, common::steady_time) {
    auto decoded = m_decode(message.document);
    if (!decoded) {
        m_events.emit(event_number::config_undecodable,
                      {{"detail", decoded.error()}, {"bytes", message.document.size()}});
        return;
    }
    if (decoded->version <= m_version) {
        if (decoded->version < m_version) {
            m_events.emit(event_number::config_older_version_refused,
                          {{"offered", decoded->version.value}, {"in_force", m_version.value}});
        }
        return;
    }
    const auto state = config::put_in_force(*decoded);
    if (!state) {
        m_events.emit(event_number::config_rejected,
                      {{"version", decoded->version.value}, {"detail", state.error()}});
        return;
    }
    m_version = decoded->version;
    m_document.store(
        std::make_shared<const document_in_force>(document_in_force{m_version, std::move(message.document)}));
    m_sinks.in_force(
        *state, std::make_shared<const routing::route_table>(routing::route_table::build(state->snapshot)));
    if (message.from_peer) {
        m_events.emit(event_number::config_fetched_from_peer, {{"version", m_version.value}});
    }
    m_events.emit(event_number::config_applied,
                  {{"version", m_version.value}, {"routes", decoded->routes.size()}});
    if (m_newer && m_newer->version <= m_version) {
        m_newer.reset();
    }
}

void state_duty::handle(const newer_version_seen& message, common::steady_time now) {
    if (message.version <= m_version) {
        return;
    }
    if (!m_newer) {
        // A daemon without any configuration serves nobody, so it asks at once.
        m_fetch_at = m_version.value == 0 ? now : now + patience;
        m_fetches = 0;
        m_newer = message;
        return;
    }
    if (message.version > m_newer->version) {
        m_newer = message;
    }
}

void state_duty::fetch_if_due(common::steady_time now) {
    if (!m_newer || now < m_fetch_at) {
        return;
    }
    if (m_fetches++ >= most_fetches) {
        m_newer.reset();
        return;
    }
    m_fetch_at = now + fetch_interval;
    m_sinks.fetch(m_newer->peer);
}

} // namespace boragehollow::daemon
