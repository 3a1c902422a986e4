#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::quota {

enum class daemon_state { alive, dead, left };

struct observed_daemon {
    std::string host;
    daemon_state state = daemon_state::alive;
};

/// Counts the daemons of the mesh. A dead daemon may be cut off and still use its share of the rates, so it
/// counts until it left in a planned stop, or for 60 s while most of the daemons are alive.
class known_daemons {
public:
    /// Takes in a complete view of the members and returns the count. `registered` daemons have ever been
    /// part of the mesh; the view of a daemon that has just started may lack those that are cut off from it.
    std::uint32_t observe(const std::vector<observed_daemon>& view, std::size_t registered,
                          common::steady_time now);

private:
    std::optional<common::steady_time> m_first_view;
    /// By host; the time since which the daemon is dead.
    std::map<std::string, std::optional<common::steady_time>> m_dead_since;
};

} // namespace boragehollow::quota
