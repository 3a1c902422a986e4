#include "boragehollow/balancing/version_filter.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::balancing {

namespace {

const std::string& version_of(const target_view& target) {
    static const std::string none;
    static const std::string label(version_label);
    const auto found = target.labels.find(label);
    return found == target.labels.end() ? none : found->second;
}

} // namespace

void version_filter::set_targets(const std::vector<target_view>& targets) {
    std::map<std::string, steady_time> versions;
    for (const target_view& target : targets) {
        const std::string& version = version_of(target);
        const auto known = m_versions.find(version);
        const steady_time seen = known == m_versions.end() ? target.first_seen : known->second;
        const auto [entry, added] = versions.emplace(version, seen);
        entry->second = std::min(entry->second, seen);
    }
    m_versions = std::move(versions);
}

void version_filter::choose_version(bool first_attempt, common::random_source& random) {
    m_new_chosen = false;
    m_hold_ignored = false;
    if (!m_rule || m_rule->share <= 0) {
        return;
    }
    m_new_chosen = !m_rule->others_in_use || (first_attempt && random.fraction() < m_rule->share);
}

bool version_filter::choose_other_version() {
    const bool usable = m_rule && (m_new_chosen ? m_rule->others_in_use : m_rule->share > 0);
    if (usable) {
        m_new_chosen = !m_new_chosen;
    }
    return usable;
}

bool version_filter::ignore_hold() {
    return !m_rule && !std::exchange(m_hold_ignored, true);
}

/// True for a version that has just appeared beside one that was known before.
bool version_filter::held_back(const std::string& version, steady_time now) const {
    if (m_hold_ignored || m_hold.count() == 0 || m_versions.size() < 2) {
        return false;
    }
    const auto own = m_versions.find(version);
    if (own == m_versions.end() || now - own->second >= m_hold) {
        return false;
    }
    return std::ranges::any_of(m_versions,
                               [&](const auto& other) { return own->second - other.second >= m_hold; });
}

bool version_filter::permits(const target_view& target, steady_time now) const {
    if (!m_rule && (m_hold.count() == 0 || m_versions.size() < 2)) {
        return true;
    }
    const std::string& version = version_of(target);
    if (m_rule && version == m_rule->version) {
        return m_new_chosen && (!m_rule->hosts || m_rule->hosts->contains(target.host));
    }
    if (m_rule && (m_new_chosen || m_rule->withheld.contains(version))) {
        return false;
    }
    return !held_back(version, now);
}

} // namespace boragehollow::balancing
