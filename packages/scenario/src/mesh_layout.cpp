#include "boragehollow/scenario/mesh_layout.hpp"

#include <algorithm>
#include <set>

namespace boragehollow::scenario {

namespace {

/// Two per domain suffice, since a daemon learns all other members from any seed.
constexpr std::size_t seeds_per_domain = 2;

std::string quoted(std::string_view text) {
    return "\"" + std::string(text) + "\"";
}

std::string quoted(const common::endpoint& value) {
    return quoted(to_string(value));
}

std::string seed_list(const mesh_layout& layout, const daemon_endpoints& daemon) {
    std::map<std::string, std::size_t> chosen;
    std::string list;
    for (const daemon_endpoints& other : layout.daemons) {
        if (other.name == daemon.name || chosen[other.domain] >= seeds_per_domain) {
            continue;
        }
        ++chosen[other.domain];
        list += list.empty() ? "" : ", ";
        list += quoted(other.gossip);
    }
    return "[" + list + "]";
}

bool matches(std::string_view side, const daemon_endpoints& daemon) {
    return side == "all" || side == daemon.name || side == daemon.domain;
}

} // namespace

const daemon_endpoints* mesh_layout::find(std::string_view name) const {
    const auto found = std::find_if(daemons.begin(), daemons.end(),
                                    [&](const daemon_endpoints& each) { return each.name == name; });
    return found == daemons.end() ? nullptr : &*found;
}

std::vector<const daemon_endpoints*> mesh_layout::select(std::string_view name) const {
    std::vector<const daemon_endpoints*> selected;
    for (const daemon_endpoints& each : daemons) {
        if (matches(name, each)) {
            selected.push_back(&each);
        }
    }
    return selected;
}

std::string daemon_name(std::string_view domain, std::size_t index) {
    return std::string(domain) + "-" + std::to_string(index);
}

mesh_layout make_layout(const mesh_statement& mesh, const std::function<std::uint16_t()>& next_port) {
    const auto loopback = [&] { return common::endpoint{"127.0.0.1", next_port()}; };
    mesh_layout layout;
    layout.mesh = mesh.name;
    layout.platform = loopback();
    for (const std::string& domain : mesh.domains) {
        for (std::size_t index = 1; index <= mesh.daemons_per_domain; ++index) {
            layout.daemons.push_back({daemon_name(domain, index), domain, loopback(), loopback(), loopback(),
                                      loopback(), loopback()});
        }
    }
    return layout;
}

std::string render_settings(const mesh_layout& layout, const daemon_endpoints& daemon,
                            const std::map<std::string, std::string>& extra) {
    std::map<std::string, std::string> entries{
        {"identity.mesh", quoted(layout.mesh)},
        {"identity.host", quoted(daemon.name)},
        {"identity.failure_domain", quoted(daemon.domain)},
        {"identity.region", quoted("loopback")},
        {"listeners.callers", quoted(daemon.callers)},
        {"listeners.operators", quoted(daemon.operators)},
        {"listeners.peer", quoted(daemon.peer)},
        {"listeners.gossip", quoted(daemon.gossip)},
        {"listeners.target", quoted(daemon.target)},
        {"gossip.seeds", seed_list(layout, daemon)},
        {"platform.log", quoted(layout.platform)},
        // Less than the default, since dozens of daemons share one machine.
        {"limits.caller_threads", "32"},
        {"testing.allow_fault_injection", "true"},
    };
    for (const auto& [key, value] : extra) {
        entries[key] = value;
    }
    std::string text;
    std::string section;
    for (const auto& [key, value] : entries) {
        const std::size_t dot = key.find('.');
        if (key.substr(0, dot) != section) {
            section = key.substr(0, dot);
            text += "[" + section + "]\n";
        }
        text += key.substr(dot + 1) + " = " + value + "\n";
    }
    return text;
}

std::vector<std::string> blocked_addresses(const mesh_layout& layout, const daemon_endpoints& daemon,
                                           const std::vector<cut_statement>& cuts) {
    std::set<std::string> blocked;
    const auto block_side = [&](std::string_view side) {
        if (side == "platform") {
            blocked.insert(to_string(layout.platform));
            return;
        }
        for (const daemon_endpoints* other : layout.select(side)) {
            if (other->name == daemon.name) {
                continue;
            }
            blocked.insert(to_string(other->peer));
            blocked.insert(to_string(other->gossip));
        }
    };
    for (const cut_statement& cut : cuts) {
        if (matches(cut.first, daemon)) {
            block_side(cut.second);
        }
        if (matches(cut.second, daemon)) {
            block_side(cut.first);
        }
    }
    return {blocked.begin(), blocked.end()};
}

} // namespace boragehollow::scenario
