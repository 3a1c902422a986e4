#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::membership {

/// A target in the view of one daemon.
struct target {
    std::string host;
    std::string failure_domain;
    common::endpoint peer;
    std::map<std::string, std::string> labels;
    std::uint32_t slots = 0;
    target_state state = target_state::none;
    std::uint64_t incarnation = 0;
    common::steady_time first_seen{};
    /// When the target stopped taking new work: it drains, has departed, or its host died or left. A time
    /// before `first_seen` refers to the previous process on the host, which was lost within the retention
    /// time.
    std::optional<common::steady_time> lost_since;

    bool operator==(const target&) const = default;
};

using target_list = std::vector<target>;

/// Immutable list of all targets by service. Lists that did not change are shared with the previous
/// directory.
class target_directory {
public:
    using service_map = std::map<std::string, std::shared_ptr<const target_list>, std::less<>>;

    target_directory() = default;
    explicit target_directory(service_map services) : m_services(std::move(services)) {}

    /// Returns the targets sorted by host, or an empty list for an unknown service.
    const target_list& targets_of(std::string_view service) const;
    const service_map& services() const { return m_services; }

private:
    service_map m_services;
};

} // namespace boragehollow::membership
