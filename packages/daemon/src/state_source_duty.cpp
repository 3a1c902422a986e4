#include "boragehollow/daemon/state_source_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

using std::chrono::milliseconds;
using telemetry::event_number;

state_source_duty::state_source_duty(state_source_settings settings, document_access access,
                                     state_source_sinks sinks, common::random_source random,
                                     const telemetry::event_log& events)
    : m_settings(settings), m_access(std::move(access)), m_sinks(std::move(sinks)), m_random(random),
      m_events(events), m_backoff(settings.min_backoff), m_polls(settings.polls),
      m_mode_deadline(common::steady_clock::now() + settings.max_wait_for_mode),
      m_next_unrequested_read(m_mode_deadline + random.jitter(settings.first_document_interval)),
      m_thread("state_source", [this](const std::stop_token& stop) { run(stop); }) {}

state_source_duty::~state_source_duty() {
    stop();
}

void state_source_duty::stop() {
    m_thread.request_stop();
    m_ring.close();
    m_thread.join();
}

void state_source_duty::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        wait(milliseconds::zero());
        if (follows() || m_read_requested) {
            read(stop);
            continue;
        }
        await_message();
    }
}

void state_source_duty::await_message() {
    if (m_mode && m_has_configuration) {
        if (const auto message = m_ring.pop()) {
            apply(*message);
        }
        return;
    }
    if (const auto message = m_ring.pop_until(m_mode ? m_next_unrequested_read : m_mode_deadline)) {
        apply(*message);
        return;
    }
    const common::steady_time now = common::steady_clock::now();
    if (m_mode && now >= m_next_unrequested_read) {
        m_next_unrequested_read = now + m_settings.first_document_interval;
        m_read_requested = true;
    }
}

bool state_source_duty::follows() const {
    return m_mode ? !std::holds_alternative<reading_on_demand>(*m_mode)
                  : common::steady_clock::now() >= m_mode_deadline;
}

milliseconds state_source_duty::next_poll_wait() {
    if (!m_reachable) {
        return m_polls.outage_wait();
    }
    const bool substitutes = m_mode && std::holds_alternative<substitute_reading>(*m_mode);
    return substitutes ? m_polls.substitute_wait() : m_polls.next_wait();
}

void state_source_duty::read(const std::stop_token& stop) {
    const common::steady_time started = common::steady_clock::now();
    const bool polls = follows() && m_positioned;
    const milliseconds poll_wait = polls ? next_poll_wait() : milliseconds::zero();
    auto documents = polls ? m_access.next(poll_wait, stop) : m_access.newest(stop);
    if (stop.stop_requested()) {
        return;
    }
    if (!documents) {
        wait(handle_read_error(documents.error(), started));
        return;
    }
    m_backoff = m_settings.min_backoff;
    if (!std::exchange(m_reachable, true)) {
        m_events.emit(event_number::log_reachable_again);
        m_polls.polls_ended_together();
        m_sinks.reachable(true);
    }
    m_positioned = true;
    m_read_requested = false;
    const common::steady_time confirmed_at =
        polls ? response_sent_at(started, poll_wait, !documents->empty()) : started;
    if (documents->empty()) {
        confirm(confirmed_at);
        return;
    }
    m_has_configuration = true;
    m_polls.polls_ended_together();
    m_sinks.documents(std::move(*documents));
    confirm(confirmed_at);
    wait(m_settings.pause_after_document);
}

common::steady_time state_source_duty::response_sent_at(common::steady_time started, milliseconds poll_wait,
                                                        bool has_documents) {
    const common::steady_time now = common::steady_clock::now();
    if (has_documents) {
        return std::max(started, now - m_response_time);
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - started);
    if (elapsed < poll_wait) {
        return started;
    }
    // Without new records the platform responds when the wait ends, and not before.
    m_response_time = elapsed - poll_wait;
    return started + poll_wait;
}

void state_source_duty::confirm(common::steady_time read_at) {
    if (m_sinks.confirmed) {
        m_sinks.confirmed(read_at);
    }
}

void state_source_duty::apply(const state_source_message& message) {
    std::visit(common::overloaded{[&](const reading_mode& mode) {
                                      m_positioned = m_positioned && follows();
                                      m_mode = mode;
                                      if (const auto* reading = std::get_if<continuous_reading>(&mode)) {
                                          m_polls.set_position(reading->position);
                                      }
                                  },
                                  [&](const read_now&) { m_read_requested = true; },
                                  [&](const configuration_present&) { m_has_configuration = true; }},
               message);
}

milliseconds state_source_duty::handle_read_error(const std::string& detail, common::steady_time started) {
    if (std::exchange(m_reachable, false)) {
        m_events.emit(event_number::log_unreachable, {{"detail", detail}});
        m_sinks.reachable(false);
    }
    const milliseconds pause =
        m_backoff / 2 + std::chrono::duration_cast<milliseconds>(m_random.jitter(m_backoff));
    m_backoff = std::min(m_settings.max_backoff, m_backoff * 2);
    // The time that the failed read took counts as part of the pause.
    const auto taken = std::chrono::duration_cast<milliseconds>(common::steady_clock::now() - started);
    return std::max(milliseconds::zero(), pause - taken);
}

void state_source_duty::wait(milliseconds pause) {
    const common::steady_time end = common::steady_clock::now() + pause;
    while (const auto message = m_ring.pop_until(end)) {
        apply(*message);
    }
}

} // namespace boragehollow::daemon
