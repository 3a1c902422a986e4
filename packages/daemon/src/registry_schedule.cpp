#include "boragehollow/daemon/registry_schedule.hpp"

#include <algorithm>

namespace boragehollow::daemon {

namespace {

using std::chrono::milliseconds;

/// The daemons of a mesh may all start at once. With this jitter the first of them have registered when the
/// others look, so that these need not register.
constexpr milliseconds max_start_jitter{500};

/// Hosts that others can ask to join; a daemon that finds fewer registers itself.
constexpr std::size_t min_registered_hosts = 4;

constexpr milliseconds initial_backoff{150};
constexpr milliseconds max_backoff{1'500};
constexpr unsigned max_doublings = 4;

/// Interval of the lookups while no other daemon is known. A daemon that looks later finds this one's entry
/// and contacts it, so another lookup helps only if the endpoints that were found have disappeared.
constexpr milliseconds isolated_lookup_interval{1'200};

/// Separate groups of daemons find each other within this time.
constexpr milliseconds regular_lookup_interval{30'000};

} // namespace

registry_schedule::registry_schedule(common::random_source random, common::steady_time now)
    : m_random(random), m_not_before(now), m_next_regular_lookup(now + regular_lookup_interval) {
    pause(std::chrono::duration_cast<milliseconds>(m_random.jitter(max_start_jitter)), now);
}

registry_action registry_schedule::next(const mesh_observation& mesh, common::steady_time now) {
    if (now < m_not_before) {
        return wait_before_next{std::chrono::ceil<milliseconds>(m_not_before - now)};
    }
    const bool regular_lookup_due = mesh.searches_for_domain && now >= m_next_regular_lookup;
    if (!m_lookup_done && (!m_looked_up || mesh.isolated || regular_lookup_due)) {
        return look_up_hosts{};
    }
    // A daemon that is isolated after its first lookup has found nobody and must be found.
    const bool must_be_found = m_register_again || m_registry_is_sparse || mesh.searches_for_domain ||
                               (mesh.isolated && m_lookups > 1);
    if (!m_registered && m_looked_up && must_be_found) {
        return register_host{};
    }
    pause(isolated_lookup_interval +
              std::chrono::duration_cast<milliseconds>(m_random.jitter(isolated_lookup_interval / 4)),
          now);
    return wait_before_next{std::chrono::ceil<milliseconds>(m_not_before - now)};
}

void registry_schedule::lookup_ended(std::optional<std::size_t> registered_hosts, common::steady_time now) {
    if (!registered_hosts) {
        pause(next_backoff(), now);
        return;
    }
    m_failures = 0;
    m_looked_up = true;
    m_lookup_done = true;
    ++m_lookups;
    m_registry_is_sparse = *registered_hosts < min_registered_hosts;
    m_next_regular_lookup = now + regular_lookup_interval;
}

void registry_schedule::registration_ended(bool succeeded, common::steady_time now) {
    m_registered = succeeded;
    if (succeeded) {
        m_register_again = false;
        m_failures = 0;
        return;
    }
    pause(next_backoff(), now);
}

void registry_schedule::registration_lost() {
    m_register_again = m_register_again || m_registered;
    m_registered = false;
}

milliseconds registry_schedule::next_backoff() {
    const milliseconds full =
        std::min(max_backoff, initial_backoff * (1U << std::min(m_failures, max_doublings)));
    ++m_failures;
    return full / 2 + std::chrono::duration_cast<milliseconds>(m_random.jitter(full));
}

void registry_schedule::pause(milliseconds duration, common::steady_time now) {
    m_not_before = now + duration;
    m_lookup_done = false;
}

} // namespace boragehollow::daemon
