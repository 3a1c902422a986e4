#pragma once

#include "boragehollow/config/config_snapshot.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Finds the route of a call in one configuration version.
namespace boragehollow::routing {

/// A service with the rules for its targets, in the order of their names.
struct service_entry {
    const config::service_policy* policy = nullptr;
    std::vector<const config::target_rule*> rules;
};

/// Keeps the configuration version alive that its pointers refer to.
struct matched_route {
    std::shared_ptr<const config::config_snapshot> snapshot;
    std::shared_ptr<const service_entry> service;
    const config::route* route = nullptr;
};

/// No route has this host and a prefix of this path.
struct no_route {
    bool operator==(const no_route&) const = default;
};

/// Routes have this host and path, but none has this method.
struct method_not_allowed {
    std::vector<std::string> allowed; ///< Sorted, without repetitions.

    bool operator==(const method_not_allowed&) const = default;
};

using match_error = std::variant<no_route, method_not_allowed>;

/// Status code that the front end answers with: 404 or 405.
int http_status(const match_error& error);

/// Routes of one configuration version, compiled for lookup. Copies are cheap and share the tables.
class route_table {
public:
    /// A table without routes.
    route_table();

    static route_table build(std::shared_ptr<const config::config_snapshot> snapshot);

    /// Best route with this method: a route with this host before one for every host, then the longest prefix
    /// of whole segments, then one that names the method, then the first name. `host` may have a port and
    /// upper-case letters; a query in `path` is ignored.
    tl::expected<matched_route, match_error> match(std::string_view host, std::string_view path,
                                                   std::string_view method) const;

    /// The service, or null when this version does not have it.
    std::shared_ptr<const service_entry> find_service(std::string_view name) const;

    const std::shared_ptr<const config::config_snapshot>& snapshot() const;

private:
    struct tables;

    explicit route_table(std::shared_ptr<const tables> compiled);

    std::shared_ptr<const tables> m_tables;
};

} // namespace boragehollow::routing
