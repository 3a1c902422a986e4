#include "boragehollow/daemon/registry_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragehollow::daemon {

using telemetry::event_number;

namespace {

constexpr std::chrono::milliseconds save_retry_interval{1'000};

} // namespace

registry_duty::registry_duty(registry_access access, registry_sinks sinks, common::random_source random,
                             const telemetry::event_log& events)
    : m_access(std::move(access)), m_sinks(std::move(sinks)), m_schedule(random, common::steady_clock::now()),
      m_events(events), m_thread("registry", [this](const std::stop_token& stop) { run(stop); }) {}

registry_duty::~registry_duty() {
    stop();
}

void registry_duty::stop() {
    m_thread.request_stop();
    m_ring.close();
    m_thread.join();
}

void registry_duty::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        repeat_writes_after_restore();
        if (m_unsaved && m_restored && common::steady_clock::now() >= m_save_at) {
            save(stop);
            continue;
        }
        const registry_action action = m_schedule.next(m_access.observe(), common::steady_clock::now());
        std::visit(common::overloaded{[&](const look_up_hosts&) { look_up(stop); },
                                      [&](const register_host&) { register_self(stop); },
                                      [&](const wait_before_next& pause) {
                                          wait_until(common::steady_clock::now() + pause.duration);
                                      }},
                   action);
    }
}

/// Waits for a message, but not beyond the time of the next save.
void registry_duty::wait_until(common::steady_time end) {
    auto message = m_ring.pop_until(m_unsaved && m_restored ? std::min(end, m_save_at) : end);
    if (!message) {
        return;
    }
    // The later state contains what the earlier one withdrew.
    m_unsaved = std::move(*message);
    m_save_at = common::steady_clock::now();
}

/// What this daemon wrote since the copy was taken is gone.
void registry_duty::repeat_writes_after_restore() {
    const std::uint64_t epoch = m_access.log_epoch();
    if (epoch <= m_log_epoch) {
        return;
    }
    const bool restored = std::exchange(m_log_epoch, epoch) != 0;
    if (!restored) {
        return;
    }
    m_schedule.registration_lost();
    if (!m_unsaved && m_last_saved) {
        m_unsaved = save_withdrawn{*m_last_saved, {}};
        m_save_at = common::steady_clock::now();
    }
}

void registry_duty::save(const std::stop_token& stop) {
    const auto saved = m_access.save_withdrawn(m_unsaved->withdrawn, stop);
    if (stop.stop_requested()) {
        return;
    }
    if (!saved) {
        m_events.emit(event_number::target_history_unsaved, {{"detail", saved.error()}});
        m_save_at = common::steady_clock::now() + save_retry_interval;
        return;
    }
    if (m_unsaved->attempt) {
        m_unsaved->attempt->succeed();
    }
    m_last_saved = std::move(m_unsaved->withdrawn);
    m_unsaved.reset();
}

void registry_duty::register_self(const std::stop_token& stop) {
    const auto registered = m_access.register_self(stop);
    if (stop.stop_requested()) {
        return;
    }
    m_schedule.registration_ended(registered.has_value(), common::steady_clock::now());
    if (!registered) {
        m_events.emit(event_number::member_registration_failed, {{"detail", registered.error()}});
        return;
    }
    m_events.emit(event_number::member_registered);
}

void registry_duty::look_up(const std::stop_token& stop) {
    auto listed = m_access.list(stop);
    if (stop.stop_requested()) {
        return;
    }
    const common::steady_time now = common::steady_clock::now();
    if (!listed) {
        m_schedule.lookup_ended(std::nullopt, now);
        m_events.emit(event_number::member_registration_failed, {{"detail", listed.error()}});
        return;
    }
    m_schedule.lookup_ended(listed->endpoints.size(), now);
    m_events.emit(event_number::member_seeds_found, {{"count", listed->endpoints.size()}});
    if (!std::exchange(m_restored, true)) {
        if (!m_last_saved && !listed->withdrawn.empty()) {
            m_last_saved = listed->withdrawn;
        }
        m_sinks.restored(std::move(listed->withdrawn));
    }
    m_sinks.found(std::move(listed->endpoints));
}

} // namespace boragehollow::daemon
