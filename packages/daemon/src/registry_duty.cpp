#include "boragehollow/daemon/registry_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <utility>

namespace boragehollow::daemon {

using telemetry::event_number;

registry_duty::registry_duty(registry_access access,
                             std::function<void(std::vector<common::endpoint>)> on_found,
                             common::random_source random, const telemetry::event_log& events)
    : m_access(std::move(access)), m_on_found(std::move(on_found)),
      m_schedule(random, common::steady_clock::now()), m_events(events),
      m_thread("registry", [this](const std::stop_token& stop) { run(stop); }) {}

registry_duty::~registry_duty() {
    stop();
}

void registry_duty::stop() {
    m_thread.request_stop();
    m_wake.close();
    m_thread.join();
}

void registry_duty::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        const registry_action action = m_schedule.next(m_access.observe(), common::steady_clock::now());
        std::visit(common::overloaded{[&](const look_up_hosts&) { look_up(stop); },
                                      [&](const register_host&) { register_self(stop); },
                                      [&](const wait_before_next& pause) {
                                          m_wake.pop_until(common::steady_clock::now() + pause.duration);
                                      }},
                   action);
    }
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
    m_schedule.lookup_ended(listed->size(), now);
    m_events.emit(event_number::member_seeds_found, {{"count", listed->size()}});
    m_on_found(std::move(*listed));
}

} // namespace boragehollow::daemon
