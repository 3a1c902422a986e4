#include "boragehollow/balancing/keyed_placement.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

// Daemons discover a target at different times; 10 s of a 2 min window covers the skew.
constexpr int discovery_skew_divisor = 12;
// Targets that appear within 30 s of the first one (for a 2 min window) belong to the initial set. No keys
// are placed before that time has passed.
constexpr int initial_join_divisor = 4;

} // namespace

bool keyed_placement::settled(const entry& known_target, steady_time now) const {
    return known_target.usable && now >= known_target.active_from &&
           now - known_target.first_seen >= m_window;
}

bool keyed_placement::recently_lost(const entry& known_target, steady_time now) const {
    return known_target.lost_at && now - *known_target.lost_at < m_window;
}

void keyed_placement::mark_lost(entry& known_target, steady_time at) const {
    const bool held_keys = at >= known_target.active_from || recently_lost(known_target, at);
    known_target.usable = false;
    if (held_keys) {
        known_target.lost_at = at;
    }
}

void keyed_placement::update_entry(entry& known_target, const candidate& seen, steady_time now) {
    known_target.listed = true;
    const bool lost_now = seen.lost_since && *seen.lost_since >= seen.first_seen;
    const bool new_instance = seen.first_seen > known_target.first_seen;
    if (new_instance) {
        // The new instance does not know the keys of the old one, so they stay lost for a window from now.
        if (known_target.usable || recently_lost(known_target, now)) {
            mark_lost(known_target, now);
        }
        known_target.first_seen = seen.first_seen;
    }
    if (lost_now || !seen.eligible) {
        if (known_target.usable) {
            mark_lost(known_target, now);
        }
        return;
    }
    if (known_target.usable) {
        return;
    }
    known_target.usable = true;
    if (recently_lost(known_target, now)) {
        // The same instance is back with its key table. The loss of an earlier instance is kept.
        if (!new_instance && now - known_target.first_seen >= m_window) {
            known_target.lost_at.reset();
        }
        return;
    }
    known_target.active_from = std::max(now, known_target.first_seen) + m_window;
}

void keyed_placement::update(const std::vector<candidate>& candidates, steady_time now) {
    for (auto& [host, known_target] : m_entries) {
        known_target.listed = false;
    }
    for (const candidate& seen : candidates) {
        const auto found = m_entries.find(seen.host);
        if (found != m_entries.end()) {
            update_entry(found->second, seen, now);
            continue;
        }
        entry added{seen.first_seen, seen.first_seen + m_window, seen.lost_since, seen.eligible, true};
        added.usable = seen.eligible && !(seen.lost_since && *seen.lost_since >= seen.first_seen);
        m_entries.emplace(seen.host, added);
    }
    for (auto& [host, known_target] : m_entries) {
        if (!known_target.listed && known_target.usable) {
            mark_lost(known_target, now);
        }
    }
    remove_expired(now);
    update_established(now);
}

void keyed_placement::update_established(steady_time now) {
    steady_time earliest = steady_time::max();
    for (const auto& [host, known_target] : m_entries) {
        const bool established = m_established_at != steady_time::max() && known_target.active_from <= now;
        if (established && (settled(known_target, now) || recently_lost(known_target, now))) {
            return;
        }
        if (known_target.usable || recently_lost(known_target, now)) {
            earliest = std::min(earliest, known_target.active_from);
        }
    }
    m_established_at = earliest;
}

void keyed_placement::remove_expired(steady_time now) {
    std::erase_if(m_entries, [this, now](const auto& item) {
        return !item.second.listed && !recently_lost(item.second, now);
    });
}

tl::expected<std::string, selection_error_reason> keyed_placement::place(std::string_view key,
                                                                         steady_time now) const {
    const std::pair<const std::string, entry>* best = nullptr;
    std::uint64_t best_weight = 0;
    bool any_usable = false;
    for (const auto& item : m_entries) {
        any_usable = any_usable || item.second.usable;
        if (!settled(item.second, now) && !recently_lost(item.second, now)) {
            continue;
        }
        const std::uint64_t weight = common::rendezvous_weight(key, item.first);
        if (best == nullptr || weight > best_weight) {
            best = &item;
            best_weight = weight;
        }
    }
    if (best == nullptr) {
        return tl::unexpected(any_usable ? selection_error_reason::placement_unsettled
                                         : selection_error_reason::no_target);
    }
    if (recently_lost(best->second, now)) {
        return tl::unexpected(selection_error_reason::placement_lost);
    }
    const steady_time initial_join_end = m_established_at + m_window / initial_join_divisor;
    if (now < initial_join_end) {
        return tl::unexpected(selection_error_reason::placement_unsettled);
    }
    const steady_time joined = best->second.active_from;
    if (joined > initial_join_end && now < joined + m_window + m_window / discovery_skew_divisor) {
        return tl::unexpected(selection_error_reason::placement_moving);
    }
    return best->first;
}

} // namespace boragehollow::balancing
