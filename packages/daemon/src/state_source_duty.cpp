#include "boragehollow/daemon/state_source_duty.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

using std::chrono::milliseconds;
using telemetry::event_number;

state_source_duty::state_source_duty(state_source_settings settings, document_poll poll,
                                     std::function<void(std::string)> document, common::random_source random,
                                     const telemetry::event_log& events)
    : m_settings(settings), m_poll(std::move(poll)), m_document(std::move(document)), m_random(random),
      m_events(events), m_backoff(settings.min_backoff),
      m_thread("state_source", [this](const std::stop_token& stop) { run(stop); }) {}

state_source_duty::~state_source_duty() {
    stop();
}

void state_source_duty::stop() {
    m_thread.request_stop();
    m_wake.close();
    m_thread.join();
}

void state_source_duty::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        auto document = m_poll(stop);
        if (stop.stop_requested()) {
            return;
        }
        if (!document) {
            wait(failed(document.error()));
            continue;
        }
        m_backoff = m_settings.min_backoff;
        if (!std::exchange(m_reachable, true)) {
            m_events.emit(event_number::log_reachable_again);
        }
        if (!*document) {
            continue;
        }
        m_document(std::move(**document));
        wait(m_settings.pause_after_document);
    }
}

milliseconds state_source_duty::failed(const std::string& detail) {
    if (std::exchange(m_reachable, false)) {
        m_events.emit(event_number::log_unreachable, {{"detail", detail}});
    }
    const milliseconds pause =
        m_backoff / 2 + std::chrono::duration_cast<milliseconds>(m_random.jitter(m_backoff));
    m_backoff = std::min(m_settings.max_backoff, m_backoff * 2);
    return pause;
}

void state_source_duty::wait(milliseconds pause) {
    m_wake.pop_until(common::steady_clock::now() + pause);
}

} // namespace boragehollow::daemon
