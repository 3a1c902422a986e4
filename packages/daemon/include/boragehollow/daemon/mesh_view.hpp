#pragma once

#include "boragehollow/daemon/poll_schedule.hpp"
#include "boragehollow/membership/member.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::daemon {

/// Immutable view of the members. The membership duty publishes it for the duties that send to other hosts.
struct mesh_view {
    std::string own_host;
    std::string own_domain;
    bool complete = false;           ///< Another daemon has sent its whole member table.
    bool substitutes_reader = false; ///< This daemon reads the log in place of its domain's log readers.
    std::map<std::string, membership::member_ref, std::less<>> hosts;

    bool reachable(const membership::member& value) const {
        return value.state == membership::member_state::alive ||
               value.state == membership::member_state::suspect;
    }

    /// Returns null when the host is unknown.
    const membership::member* find(const std::string& host) const;

    /// Reachable hosts of a failure domain in sorted order.
    std::vector<std::string> live_hosts(const std::string& failure_domain) const;
    std::vector<std::string> failure_domains() const;

    /// Log readers of a failure domain in order of preference.
    std::vector<std::string> readers(const std::string& failure_domain) const;
    /// Position of this host among the log readers of its failure domain; empty if it is none of them.
    std::optional<reader_position> own_reader_position() const;
    /// The log reader that appends snapshots for the whole mesh; empty when there is none.
    std::string compactor() const;

    std::size_t count(membership::member_state state) const;
};

} // namespace boragehollow::daemon
