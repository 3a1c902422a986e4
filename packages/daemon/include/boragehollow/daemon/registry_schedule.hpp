#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <variant>

namespace boragehollow::daemon {

/// Read the gossip endpoints of the registered hosts.
struct look_up_hosts {};

/// Write this host's gossip endpoint.
struct register_host {};

struct wait_before_next {
    std::chrono::milliseconds duration{0};
};

using registry_action = std::variant<look_up_hosts, register_host, wait_before_next>;

/// What a daemon knows of the mesh without the registry.
struct mesh_observation {
    bool isolated = true; ///< No other live daemon is known.
    /// This daemon looks up others regularly on behalf of its failure domain, so that groups of daemons that
    /// are separated find each other.
    bool searches_for_domain = false;
};

/// Decides when a daemon uses the registry of hosts, for whose calls the platform charges. One lookup brings
/// a starting daemon into contact with the mesh, and gossip does the rest. Only enough hosts register for
/// others to find the mesh: the first ones, those that search for their domain, and those that are isolated.
class registry_schedule {
public:
    registry_schedule(common::random_source random, common::steady_time now);

    registry_action next(const mesh_observation& mesh, common::steady_time now);

    /// Reports the end of a lookup: the number of registered hosts, or nothing if it failed.
    void lookup_ended(std::optional<std::size_t> registered_hosts, common::steady_time now);
    void registration_ended(bool succeeded, common::steady_time now);
    /// Reports that the registry may have lost this host's entry.
    void registration_lost();

private:
    std::chrono::milliseconds next_backoff();
    void pause(std::chrono::milliseconds duration, common::steady_time now);

    common::random_source m_random;
    common::steady_time m_not_before;
    common::steady_time m_next_regular_lookup;
    bool m_looked_up = false;
    bool m_lookup_done = false; ///< Since the last pause.
    bool m_registered = false;
    bool m_register_again = false; ///< The entry was lost.
    bool m_registry_is_sparse = false;
    unsigned m_lookups = 0;
    unsigned m_failures = 0;
};

} // namespace boragehollow::daemon
