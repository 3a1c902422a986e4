#include "boragehollow/daemon/timeline_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <utility>

namespace boragehollow::daemon {

timeline_duty::timeline_duty(std::size_t ring_size, std::size_t kept_events, std::size_t kept_bytes)
    : m_buffer(kept_events, kept_bytes), m_ring(ring_size),
      m_thread("timeline", [this](const std::stop_token&) { run(); }) {}

timeline_duty::~timeline_duty() {
    stop();
}

void timeline_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void timeline_duty::record(telemetry::timeline_event event) {
    m_ring.push_newest(std::move(event));
}

std::optional<telemetry::timeline_page> timeline_duty::query(std::optional<common::hybrid_time> since,
                                                             std::size_t limit,
                                                             common::steady_time deadline) {
    query_timeline message{since, limit, {}};
    const auto reply = message.reply;
    if (!m_ring.push_until(timeline_message(std::move(message)), deadline)) {
        return std::nullopt;
    }
    return reply.wait_until(deadline);
}

void timeline_duty::run() {
    while (auto message = m_ring.pop()) {
        std::visit(
            common::overloaded{[&](telemetry::timeline_event& event) { m_buffer.add(std::move(event)); },
                               [&](const query_timeline& query) {
                                   query.reply.set(m_buffer.query(query.since, query.limit));
                               }},
            *message);
    }
}

} // namespace boragehollow::daemon
