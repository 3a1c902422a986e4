#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/common/withdrawn_instance.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragehollow::membership {

/// Ordered by severity: within one incarnation the more severe state wins.
enum class member_state { alive, suspect, dead, left };

enum class target_state { none, starting, ready, draining, gone };

/// The last announcement of the target on a host to its daemon.
struct target_announcement {
    std::string service;
    std::map<std::string, std::string> labels;
    std::uint32_t slots = 0;
    target_state state = target_state::none;

    bool operator==(const target_announcement&) const = default;
};

/// Entry of the member table: one daemon and the target on its host.
struct member {
    std::string host;
    std::string failure_domain;
    common::endpoint gossip; ///< UDP.
    common::endpoint peer;   ///< gRPC.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    target_announcement target{};
    /// Incremented with each change of the announcement or of the withdrawn instances within an incarnation.
    std::uint64_t target_sequence = 0;
    std::uint32_t link_megabits = 0; ///< Bandwidth of the host's link, in Mbit/s; 0 when not stated.
    /// The last incarnations of the host's target that were withdrawn, the latest last.
    std::vector<common::withdrawn_instance> withdrawn{};

    bool operator==(const member&) const = default;
};

using member_ref = std::shared_ptr<const member>;

/// First incarnation of a process that started at `start`. The low 16 bits count the refutations of this
/// process, so that a restart is distinguishable from a refutation.
std::uint64_t first_incarnation(common::wall_time start);

/// Start time of the process that an incarnation belongs to, by the wall clock of its host, with a resolution
/// of one millisecond.
common::wall_time process_start(std::uint64_t incarnation);

bool same_process(std::uint64_t left, std::uint64_t right);

inline bool is_tombstone(const member& value) {
    return value.state == member_state::dead || value.state == member_state::left;
}

} // namespace boragehollow::membership
