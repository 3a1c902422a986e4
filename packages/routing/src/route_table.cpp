#include "boragehollow/routing/route_table.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>

namespace boragehollow::routing {

namespace {

/// Transparent hash: lookups by string_view need no allocation.
struct string_view_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

template <class Value>
using name_map = std::unordered_map<std::string, Value, string_view_hash, std::equal_to<>>;

/// Removes the next segment from `rest`, which starts after a '/'. `rest` is empty at the end of the path.
std::string_view take_segment(std::string_view& rest) {
    const std::size_t end = std::min(rest.find('/'), rest.size());
    const std::string_view segment = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return segment;
}

/// Prefix tree of path segments for one host.
class path_tree {
public:
    path_tree() : m_nodes(1) {}

    void add(const config::route& item) {
        std::uint32_t current = 0;
        std::string_view rest = std::string_view(item.path_prefix).substr(1);
        while (!rest.empty()) {
            const std::string_view segment = take_segment(rest);
            const auto [child, added] = m_nodes[current].children.try_emplace(
                std::string(segment), static_cast<std::uint32_t>(m_nodes.size()));
            current = child->second;
            if (added) {
                m_nodes.emplace_back();
            }
        }
        m_nodes[current].routes.push_back(&item);
    }

    void sort() {
        // Routes that list methods come first. Ties are broken by name, so that every daemon orders them
        // alike.
        const auto sort_key = [](const config::route* item) {
            return std::pair<bool, std::string_view>(item->methods.empty(), item->name);
        };
        for (node& item : m_nodes) {
            std::ranges::sort(item.routes, {}, sort_key);
        }
    }

    /// The route with the longest matching prefix that accepts the method. The methods of other matching
    /// routes are added to `allowed` unless it is null.
    const config::route* find(std::string_view path, std::string_view method,
                              std::set<std::string>* allowed) const {
        if (!path.starts_with('/')) {
            return nullptr;
        }
        const config::route* best = nullptr;
        const bool has_trailing_slash = path.ends_with('/');
        const node* current = m_nodes.data();
        std::string_view rest = path.substr(1);
        while (true) {
            if (const config::route* found =
                    choose(*current, method, !rest.empty() || has_trailing_slash, allowed)) {
                best = found;
            }
            if (rest.empty()) {
                return best;
            }
            const auto child = current->children.find(take_segment(rest));
            if (child == current->children.end()) {
                return best;
            }
            current = &m_nodes[child->second];
        }
    }

private:
    struct node {
        name_map<std::uint32_t> children;
        std::vector<const config::route*> routes;
    };

    /// `path_continues` means that the path continues with a slash after this node.
    static const config::route* choose(const node& item, std::string_view method, bool path_continues,
                                       std::set<std::string>* allowed) {
        for (const config::route* candidate : item.routes) {
            if (candidate->only_below_prefix && !path_continues) {
                continue;
            }
            if (candidate->methods.empty() ||
                std::ranges::find(candidate->methods, method) != candidate->methods.end()) {
                return candidate;
            }
            if (allowed != nullptr) {
                allowed->insert(candidate->methods.begin(), candidate->methods.end());
            }
        }
        return nullptr;
    }

    std::vector<node> m_nodes;
};

/// Host in lower case, without port and trailing dot.
std::string normalized_host(std::string_view host) {
    // A host that ends with ']' is an IPv6 address without a port.
    if (const std::size_t colon = host.rfind(':'); colon != std::string_view::npos && !host.ends_with(']')) {
        host = host.substr(0, colon);
    }
    if (host.ends_with('.')) {
        host.remove_suffix(1);
    }
    std::string lower(host);
    std::ranges::transform(lower, lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

match_error error_for(const std::set<std::string>& allowed) {
    if (allowed.empty()) {
        return no_route{};
    }
    return method_not_allowed{{allowed.begin(), allowed.end()}};
}

} // namespace

struct route_table::tables {
    std::shared_ptr<const config::config_snapshot> snapshot;
    name_map<path_tree> hosts;
    path_tree any_host;
    name_map<std::shared_ptr<service_entry>> services;
};

int http_status(const match_error& error) {
    return std::visit(common::overloaded{
                          [](const no_route&) { return 404; },
                          [](const method_not_allowed&) { return 405; },
                      },
                      error);
}

route_table::route_table() : route_table(build(std::make_shared<const config::config_snapshot>())) {}

route_table::route_table(std::shared_ptr<const tables> compiled) : m_tables(std::move(compiled)) {}

route_table route_table::build(std::shared_ptr<const config::config_snapshot> snapshot) {
    auto compiled = std::make_shared<tables>();
    for (const auto& [key, stored] : snapshot->resources) {
        if (const auto* policy = std::get_if<config::service_policy>(&stored.value)) {
            compiled->services.emplace(policy->name,
                                       std::make_shared<service_entry>(service_entry{policy, {}}));
        }
    }
    for (const auto& [key, stored] : snapshot->resources) {
        const std::vector<std::string> names = config::referenced_services(stored.value);
        // Validation rejects dangling references. Checked again, since a call must never be sent to a service
        // that the daemon does not have.
        const bool references_exist =
            !names.empty() && std::ranges::all_of(names, [&compiled](const auto& name) {
                return compiled->services.contains(name);
            });
        if (!references_exist) {
            continue;
        }
        if (const auto* rule = std::get_if<config::target_rule>(&stored.value)) {
            compiled->services.at(names.front())->rules.push_back(rule);
        }
        if (const auto* item = std::get_if<config::route>(&stored.value)) {
            path_tree& tree = item->host.empty() ? compiled->any_host : compiled->hosts[item->host];
            tree.add(*item);
        }
    }
    compiled->any_host.sort();
    for (auto& [host, tree] : compiled->hosts) {
        tree.sort();
    }
    compiled->snapshot = std::move(snapshot);
    return route_table(std::move(compiled));
}

tl::expected<matched_route, match_error> route_table::match(std::string_view host, std::string_view path,
                                                            std::string_view method) const {
    path = path.substr(0, path.find_first_of("?#"));
    const auto host_tree = m_tables->hosts.find(normalized_host(host));
    const auto search = [&](std::set<std::string>* allowed) {
        const config::route* found =
            host_tree == m_tables->hosts.end() ? nullptr : host_tree->second.find(path, method, allowed);
        return found != nullptr ? found : m_tables->any_host.find(path, method, allowed);
    };
    if (const config::route* found = search(nullptr)) {
        return matched_route{m_tables->snapshot, find_service(found->service), found};
    }
    std::set<std::string> allowed;
    search(&allowed);
    return tl::unexpected(error_for(allowed));
}

std::shared_ptr<const service_entry> route_table::find_service(std::string_view name) const {
    const auto found = m_tables->services.find(name);
    return found == m_tables->services.end() ? nullptr : found->second;
}

const std::shared_ptr<const config::config_snapshot>& route_table::snapshot() const {
    return m_tables->snapshot;
}

} // namespace boragehollow::routing
