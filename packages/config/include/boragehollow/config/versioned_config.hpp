#pragma once

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

/// What a caller may send, and how long it may take or stay idle.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 64ULL * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    bool operator==(const caller_limits&) const = default;
};

/// Configuration from a source that publishes whole states under rising version numbers, in place of a stream
/// of changes.
struct versioned_config {
    revision version;
    std::vector<route> routes;
    std::vector<service_policy> services;
    caller_limits limits;
};

/// What is in force on a daemon whose configuration comes as whole states.
struct active_config {
    std::shared_ptr<const config_snapshot> snapshot;
    caller_limits limits;
};

/// Checks each resource and each reference. A state with a fault is refused whole.
tl::expected<active_config, std::string> activate_config(const versioned_config& state);

} // namespace boragehollow::config
