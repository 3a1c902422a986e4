#pragma once

#include "boragehollow/config/client_account.hpp"
#include "boragehollow/config/config_snapshot.hpp"
#include "boragehollow/config/resource.hpp"
#include "boragehollow/config/validation.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace boragehollow::config {

/// Limits of the size and duration of requests, and of idle connections of callers.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 64ULL * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    bool operator==(const caller_limits&) const = default;
};

/// Whole configuration from a source that publishes complete states with increasing version numbers instead
/// of a stream of changes.
struct versioned_config {
    revision version;
    std::vector<route> routes;
    std::vector<service_policy> services;
    caller_limits limits;
    std::vector<client_account> accounts; ///< Empty: calls need no key.
};

/// The active configuration of a daemon that receives complete states.
struct active_config {
    std::shared_ptr<const config_snapshot> snapshot;
    caller_limits limits;
    std::shared_ptr<const std::vector<client_account>> accounts; ///< Never null.
};

/// Validates all resources and references and returns the active configuration. A single error rejects the
/// whole state. The result shares the resources that did not change with `previous`, which may be null.
tl::expected<active_config, std::string> activate_config(const versioned_config& state,
                                                         const config_snapshot* previous = nullptr);

} // namespace boragehollow::config
