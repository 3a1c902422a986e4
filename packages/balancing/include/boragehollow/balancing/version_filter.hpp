#pragma once

#include "boragehollow/balancing/target_view.hpp"
#include "boragehollow/common/random_source.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::balancing {

/// Label that states the version of a target's software.
inline constexpr std::string_view version_label = "version";

/// Distribution of a service's calls while its targets are replaced by those of another version.
struct version_rule {
    std::string version;                        ///< The new version.
    double share = 0;                           ///< Share of the calls for it.
    bool others_in_use = true;                  ///< Targets of other versions take calls.
    std::optional<std::set<std::string>> hosts; ///< Hosts of the new targets that take calls; empty: all.
    std::set<std::string> withheld;             ///< Other versions that take no calls.

    bool operator==(const version_rule&) const = default;
};

/// Decides which targets an attempt may use, by their versions.
class version_filter {
public:
    /// A version that appears beside another one takes no calls for `hold`, since the rule of its roll-out
    /// may not have arrived yet.
    explicit version_filter(std::chrono::milliseconds hold) : m_hold(hold) {}

    void set_rule(std::optional<version_rule> rule) { m_rule = std::move(rule); }
    bool has_rule() const { return m_rule.has_value(); }
    void set_targets(const std::vector<target_view>& targets);

    /// Chooses the version for the next attempt. Only a first attempt may try a version that does not take
    /// all calls, so that a refusal there leads to a target in use.
    void choose_version(bool first_attempt, common::random_source& random);
    /// Chooses the other version, since no target of the chosen one takes calls; false if it is not in use.
    bool choose_other_version();

    /// Permits versions that are held back for this attempt, since nothing else is usable; false if a rule
    /// decides.
    bool ignore_hold();

    /// Whether the target may take the attempt for which a version was chosen.
    bool permits(const target_view& target, steady_time now) const;

private:
    bool held_back(const std::string& version, steady_time now) const;

    std::chrono::milliseconds m_hold;
    std::optional<version_rule> m_rule;
    bool m_new_chosen = false;
    bool m_hold_ignored = false;
    std::map<std::string, steady_time> m_versions; ///< When the first target of each version was seen.
};

} // namespace boragehollow::balancing
