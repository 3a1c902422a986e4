#pragma once

#include "boragehollow/membership/target_directory.hpp"

#include <chrono>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace boragehollow::membership {

/// Builds the target directory from updates of the member table, and rebuilds only the lists of the services
/// that changed.
class target_directory_builder {
public:
    explicit target_directory_builder(std::chrono::milliseconds lost_retention)
        : m_lost_retention(lost_retention) {}

    /// Stores the current entry of a host. A target that is new is recorded as first seen at `first_seen`.
    /// Returns true when the directory changes.
    bool update(const member_ref& value, common::steady_time first_seen, common::steady_time now);

    /// Removes the lost targets whose retention time has passed. Returns true when the directory changes.
    bool expire(common::steady_time now);
    common::steady_time next_expiry() const;

    std::shared_ptr<const target_directory> directory();

private:
    /// The target that one process on one host announced.
    struct instance {
        member_ref value;
        common::steady_time first_seen{};
        std::optional<common::steady_time> lost_since;
    };

    void mark_lost(instance& lost, common::steady_time now);
    void mark_changed(const instance& changed) { m_changed_services.insert(changed.value->target.service); }
    /// Stores a newer entry of a known instance. Returns true when its directory entry changes.
    bool refresh(instance& known, const member_ref& value, common::steady_time now);
    std::shared_ptr<const target_list> build(const std::string& service) const;

    std::chrono::milliseconds m_lost_retention;
    std::unordered_map<std::string, std::vector<instance>> m_by_host;
    std::map<std::string, std::set<std::string>, std::less<>> m_hosts_by_service;
    std::set<std::pair<common::steady_time, std::string>> m_expiries; ///< Time and host.
    std::set<std::string> m_changed_services;
    std::shared_ptr<const target_directory> m_directory = std::make_shared<target_directory>();
};

} // namespace boragehollow::membership
