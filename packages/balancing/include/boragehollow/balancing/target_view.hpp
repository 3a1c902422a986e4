#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace boragehollow::balancing {

using common::steady_time;

enum class target_state { starting, ready, draining };

/// Load stated by a target or its daemon. It may be stale or wrong, so it is only a hint.
struct load_report {
    std::uint32_t in_use = 0; ///< Slots in use.
    std::uint32_t queued = 0; ///< Calls that wait for a slot.
    steady_time received;
};

/// Target of a service, from the membership table.
struct target_view {
    std::string host;
    std::string failure_domain;
    common::endpoint peer; ///< Endpoint for calls, of the daemon on the target's host.
    std::map<std::string, std::string> labels;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;
    /// When this instance of the target was discovered. A restart sets a new time.
    steady_time first_seen;
    /// When the target or its previous instance was lost. The target is currently lost if this is not before
    /// `first_seen`.
    std::optional<steady_time> lost_since;
    std::optional<load_report> load;

    bool lost() const { return lost_since && *lost_since >= first_seen; }
};

} // namespace boragehollow::balancing
