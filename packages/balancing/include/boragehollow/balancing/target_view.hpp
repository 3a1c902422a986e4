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

/// What a target or its daemon said about its load. It may be late or wrong, so it is only a hint.
struct load_report {
    std::uint32_t in_use = 0; ///< Slots in use.
    std::uint32_t queued = 0; ///< Calls that wait for a slot.
    steady_time received;
};

/// One target of a service as the member table shows it.
struct target_view {
    std::string host;
    std::string failure_domain;
    common::endpoint peer; ///< Call endpoint of the daemon on the target's host.
    std::map<std::string, std::string> labels;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;
    /// When this instance of the target became known. A restarted target has a new time.
    steady_time first_seen;
    /// Set when the target, or its previous instance, was lost. A time at or after `first_seen` means that
    /// it is lost now.
    std::optional<steady_time> lost_since;
    std::optional<load_report> load;

    bool lost() const { return lost_since && *lost_since >= first_seen; }
};

} // namespace boragehollow::balancing
