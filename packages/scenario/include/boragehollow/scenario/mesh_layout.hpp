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

/// Addresses of one daemon.
struct daemon_place {
    std::string name;
    std::string domain;
    common::endpoint callers;
    common::endpoint operators;
    common::endpoint peer;
    common::endpoint gossip;
    common::endpoint target;
};

/// Daemons of a mesh on loopback, and the settings that each gets.
struct mesh_layout {
    std::string mesh;
    common::endpoint platform;
    std::vector<daemon_place> daemons;

    const daemon_place* find(std::string_view name) const;

    /// Daemons that a name stands for: a daemon, all of a domain, or `all`. Empty for another name.
    std::vector<const daemon_place*> select(std::string_view name) const;
};

std::string daemon_name(std::string_view domain, std::size_t index);

/// `next_port` gives a free port on loopback for each call.
mesh_layout make_layout(const mesh_statement& mesh, const std::function<std::uint16_t()>& next_port);

/// The settings file of one daemon. `extra` adds entries (`section.key` to a TOML value) or replaces them.
std::string render_settings(const mesh_layout& layout, const daemon_place& daemon,
                            const std::map<std::string, std::string>& extra);

/// Addresses that a daemon must not exchange messages with, given the pairs that are cut.
std::vector<std::string> blocked_addresses(const mesh_layout& layout, const daemon_place& daemon,
                                           const std::vector<cut_statement>& cuts);

} // namespace boragehollow::scenario
