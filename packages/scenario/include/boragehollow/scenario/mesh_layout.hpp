#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/scenario/statement.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::scenario {

/// Name, failure domain and listening addresses of one daemon.
struct daemon_endpoints {
    std::string name;
    std::string domain;
    common::endpoint callers;
    common::endpoint operators;
    common::endpoint peer;
    common::endpoint gossip;
    common::endpoint target;
};

/// Addresses of the platform and the daemons of a mesh on loopback.
struct mesh_layout {
    std::string mesh;
    common::endpoint platform;
    std::vector<daemon_endpoints> daemons;

    const daemon_endpoints* find(std::string_view name) const;

    /// Returns the daemons that a name refers to: one daemon, all daemons of a domain, or `all`. Empty for an
    /// unknown name.
    std::vector<const daemon_endpoints*> select(std::string_view name) const;
};

std::string daemon_name(std::string_view domain, std::size_t index);

/// Assigns loopback addresses to all daemons of a mesh. Each call of `next_port` must return a free port.
mesh_layout make_layout(const mesh_statement& mesh, const std::function<std::uint16_t()>& next_port);

/// Returns the text of a daemon's settings file. The entries of `extra` (`section.key` to a TOML value) are
/// added, or replace the default ones.
std::string render_settings(const mesh_layout& layout, const daemon_endpoints& daemon,
                            const std::map<std::string, std::string>& extra);

/// Returns the addresses that a daemon must not exchange messages with while the given links are cut.
std::vector<std::string> blocked_addresses(const mesh_layout& layout, const daemon_endpoints& daemon,
                                           const std::vector<cut_statement>& cuts);

} // namespace boragehollow::scenario
