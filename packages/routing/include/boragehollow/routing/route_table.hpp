#pragma once

#include "boragehollow/config/config_snapshot.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Matches calls against the routes of one configuration version.
namespace boragehollow::routing {

/// A service with its target rules, sorted by name.
struct service_entry {
    const config::service_policy* policy = nullptr;
    std::vector<const config::target_rule*> rules;
};

/// Result of a match. Owns the configuration version that its pointers refer to.
struct matched_route {
    std::shared_ptr<const config::config_snapshot> snapshot;
    std::shared_ptr<const service_entry> service;
    const config::route* route = nullptr;
};

/// No route matches the host and path.
struct no_route {
    bool operator==(const no_route&) const = default;
};

/// Routes match the host and path, but none accepts the method.
struct method_not_allowed {
    std::vector<std::string> allowed; ///< Sorted, without duplicates.

    bool operator==(const method_not_allowed&) const = default;
};

using match_error = std::variant<no_route, method_not_allowed>;

/// HTTP status for the error: 404 or 405.
int http_status(const match_error& error);

/// Routes of one configuration version, compiled for lookup. Copies are cheap and share the same tables.
class route_table {
public:
    /// An empty table.
    route_table();

    static route_table build(std::shared_ptr<const config::config_snapshot> snapshot);

    /// Best route that accepts the method: an exact host before any host, then the longest prefix in whole
    /// segments, then a route that lists the method, then the first by name. `host` may contain a port and
    /// upper-case letters; the query and fragment of `path` are ignored.
    tl::expected<matched_route, match_error> match(std::string_view host, std::string_view path,
                                                   std::string_view method) const;

    /// The service, or null if this version does not contain it.
    std::shared_ptr<const service_entry> find_service(std::string_view name) const;

    const std::shared_ptr<const config::config_snapshot>& snapshot() const;

private:
    struct tables;

    explicit route_table(std::shared_ptr<const tables> compiled);

    std::shared_ptr<const tables> m_tables;
};

} // namespace boragehollow::routing
