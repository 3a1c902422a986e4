#pragma once

#include "boragehollow/config/change.hpp"
#include "boragehollow/config/persistent_map.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragehollow::config {

struct stored_resource {
    resource value;
    revision changed_at; ///< Revision of the last record that put this resource.

    bool operator==(const stored_resource&) const = default;
};

/// Verdict on a change, stored so that a repeated append is recognized and operators can query it.
struct change_outcome {
    std::string change_id;
    revision at;
    std::string author;
    verdict result;

    bool operator==(const change_outcome&) const = default;
};

struct key_priority {
    std::uint64_t operator()(const resource_key& key) const;
    std::uint64_t operator()(const std::string& text) const;
    std::uint64_t operator()(revision value) const;
};

using resource_map = persistent_map<resource_key, stored_resource, key_priority>;
using outcome_map = persistent_map<revision, change_outcome, key_priority>;
using outcome_index = persistent_map<std::string, revision, key_priority>;

/// The whole configuration after one record. Published snapshots are immutable; successive versions share
/// equal parts.
class config_snapshot {
public:
    revision version;
    std::uint64_t digest = 0; ///< Digest of the verdicts on all records up to `version`.
    std::uint32_t active_schema = 1;
    resource_map resources;

    const stored_resource* find(const resource_key& key) const { return resources.find(key); }
    bool has_service(const std::string& name) const;

    /// Returns the outcomes of the most recent changes, oldest first.
    const outcome_map& outcomes() const { return m_outcomes; }

    /// Returns the outcome of the change with this id, or null when it is unknown or no longer stored.
    const change_outcome* outcome_of(const std::string& change_id) const;

    /// Stores the outcome and removes the oldest ones above `max_outcomes`.
    void add_outcome(change_outcome outcome);

private:
    outcome_map m_outcomes;
    outcome_index m_outcome_index;
};

/// Returns the names of the services that a route or target rule references; a split route references
/// several.
std::vector<std::string> referenced_services(const resource& value);

} // namespace boragehollow::config
