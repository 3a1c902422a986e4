#include "boragehollow/daemon/registry_duty.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

constexpr milliseconds initial_backoff{150};
constexpr milliseconds max_backoff{1'500};
constexpr unsigned max_doublings = 4;

/// Interval of the lookups while no other daemon is known. A daemon that registers later finds this daemon's
/// entry and contacts it, so another lookup helps only if the endpoints that were found have disappeared.
constexpr milliseconds isolated_lookup_interval{1'200};

/// Separate groups of daemons find each other within this time. The platform charges for each lookup.
constexpr milliseconds lookup_interval{30'000};

} // namespace

registry_duty::registry_duty(registry_access access,
                             std::function<void(std::vector<common::endpoint>)> on_found,
                             common::random_source random, const telemetry::event_log& events)
    : m_access(std::move(access)), m_on_found(std::move(on_found)), m_random(random), m_events(events),
      m_thread("registry", [this](const std::stop_token& stop) { run(stop); }) {}

registry_duty::~registry_duty() {
    stop();
}

void registry_duty::stop() {
    m_thread.request_stop();
    m_wake.close();
    m_thread.join();
}

milliseconds registry_duty::backoff(unsigned failures) {
    const milliseconds full =
        std::min(max_backoff, initial_backoff * (1U << std::min(failures, max_doublings)));
    return full / 2 + std::chrono::duration_cast<milliseconds>(m_random.jitter(full));
}

void registry_duty::run(const std::stop_token& stop) {
    bool registered = false;
    bool lookup_done = false;
    unsigned failures = 0;
    common::steady_time next_lookup = common::steady_clock::now();
    while (!stop.stop_requested()) {
        const bool due = m_access.isolated() ||
                         (m_access.searches_for_domain() && common::steady_clock::now() >= next_lookup);
        if (registered && lookup_done && !due) {
            wait(isolated_lookup_interval);
            continue;
        }
        // The lookup does not depend on the registration: a store that refuses writes may still serve reads.
        registered = registered || register_self(stop);
        const bool lookup_succeeded = look_up(stop);
        if (!registered || !lookup_succeeded) {
            wait(backoff(failures++));
            continue;
        }
        failures = 0;
        lookup_done = true;
        next_lookup = common::steady_clock::now() + lookup_interval;
        wait(isolated_lookup_interval +
             std::chrono::duration_cast<milliseconds>(m_random.jitter(isolated_lookup_interval / 4)));
    }
}

bool registry_duty::register_self(const std::stop_token& stop) {
    const auto registered = m_access.register_self(stop);
    if (stop.stop_requested()) {
        return false;
    }
    if (!registered) {
        m_events.emit(event_number::member_registration_failed, {{"detail", registered.error()}});
        return false;
    }
    m_events.emit(event_number::member_registered);
    return true;
}

bool registry_duty::look_up(const std::stop_token& stop) {
    auto listed = m_access.list(stop);
    if (stop.stop_requested()) {
        return false;
    }
    if (!listed) {
        m_events.emit(event_number::member_registration_failed, {{"detail", listed.error()}});
        return false;
    }
    m_events.emit(event_number::member_seeds_found, {{"count", listed->size()}});
    m_on_found(std::move(*listed));
    return true;
}

void registry_duty::wait(milliseconds pause) {
    m_wake.pop_until(common::steady_clock::now() + pause);
}

} // namespace boragehollow::daemon
