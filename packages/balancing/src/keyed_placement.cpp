#include "boragehollow/balancing/keyed_placement.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

// Daemons learn of a target at slightly different times; 10 s of a window of 2 min covers the difference.
constexpr int skew_divisor = 12;
// Targets that appear within 30 s of the first one, for a window of 2 min, are its equals: the service is not
// used with keys before that time is over.
constexpr int founding_divisor = 4;

} // namespace

bool keyed_placement::settled(const entry& known, steady_time now) const {
    return known.usable && now >= known.takes_part_from && now - known.first_seen >= m_window;
}

bool keyed_placement::recently_lost(const entry& known, steady_time now) const {
    return known.lost_at && now - *known.lost_at < m_window;
}

void keyed_placement::mark_lost(entry& known, steady_time at) const {
    const bool held_keys = at >= known.takes_part_from || recently_lost(known, at);
    known.usable = false;
    if (held_keys) {
        known.lost_at = at;
    }
}

void keyed_placement::update_entry(entry& known, const candidate& seen, steady_time now) {
    known.listed = true;
    const bool lost_now = seen.lost_since && *seen.lost_since >= seen.first_seen;
    const bool new_instance = seen.first_seen > known.first_seen;
    if (new_instance) {
        // The new instance knows no key of the old one, so the keys stay lost for a window from now.
        if (known.usable || recently_lost(known, now)) {
            mark_lost(known, now);
        }
        known.first_seen = seen.first_seen;
    }
    if (lost_now || !seen.eligible) {
        if (known.usable) {
            mark_lost(known, now);
        }
        return;
    }
    if (known.usable) {
        return;
    }
    known.usable = true;
    if (recently_lost(known, now)) {
        // The same instance, with its table, is back. The loss of an earlier instance stays on record.
        if (!new_instance && now - known.first_seen >= m_window) {
            known.lost_at.reset();
        }
        return;
    }
    known.takes_part_from = std::max(now, known.first_seen) + m_window;
}

void keyed_placement::update(const std::vector<candidate>& candidates, steady_time now) {
    for (auto& [host, known] : m_entries) {
        known.listed = false;
    }
    for (const candidate& seen : candidates) {
        const auto found = m_entries.find(seen.host);
        if (found != m_entries.end()) {
            update_entry(found->second, seen, now);
            continue;
        }
        entry fresh{seen.first_seen, seen.first_seen + m_window, seen.lost_since, seen.eligible, true};
        fresh.usable = seen.eligible && !(seen.lost_since && *seen.lost_since >= seen.first_seen);
        m_entries.emplace(seen.host, fresh);
    }
    for (auto& [host, known] : m_entries) {
        if (!known.listed && known.usable) {
            mark_lost(known, now);
        }
    }
    drop_old(now);
    find_opening(now);
}

void keyed_placement::find_opening(steady_time now) {
    steady_time earliest = steady_time::max();
    for (const auto& [host, known] : m_entries) {
        const bool open = m_opened != steady_time::max() && known.takes_part_from <= now;
        if (open && (settled(known, now) || recently_lost(known, now))) {
            return;
        }
        if (known.usable || recently_lost(known, now)) {
            earliest = std::min(earliest, known.takes_part_from);
        }
    }
    m_opened = earliest;
}

void keyed_placement::drop_old(steady_time now) {
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
    const steady_time founded = m_opened + m_window / founding_divisor;
    if (now < founded) {
        return tl::unexpected(selection_error_reason::placement_unsettled);
    }
    const steady_time joined = best->second.takes_part_from;
    if (joined > founded && now < joined + m_window + m_window / skew_divisor) {
        return tl::unexpected(selection_error_reason::placement_moving);
    }
    return best->first;
}

} // namespace boragehollow::balancing
