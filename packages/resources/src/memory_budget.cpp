#include "boragehollow/resources/memory_budget.hpp"

#include <algorithm>
#include <tuple>

namespace boragehollow::resources {

namespace {

/// Large messages share this fraction of the budget. A single one may take all of it.
constexpr double shared_fraction = 0.9;

bool is_small(std::size_t bytes) {
    return bytes <= max_small_message_bytes;
}

} // namespace

holder_id memory_budget::open(holder_activity activity, common::steady_time now) {
    const holder_id id{m_next_id++};
    holder& opened = m_holders[id.value];
    opened.activity = activity;
    restart_window(opened, now);
    return id;
}

memory_budget::effects memory_budget::close(holder_id id, common::steady_time now) {
    effects result;
    const auto found = m_holders.find(id.value);
    if (found == m_holders.end()) {
        return result;
    }
    set_size(found->second, 0);
    m_waiting.erase(id.value);
    m_holders.erase(found);
    grant_waiting(result, now);
    return result;
}

grant_result memory_budget::resize(holder_id id, std::size_t bytes, common::steady_time now) {
    const auto found = m_holders.find(id.value);
    if (found == m_holders.end() || found->second.ended) {
        return grant_result::too_large;
    }
    holder& changed = found->second;
    const bool bypasses = is_small(bytes) || bytes <= changed.bytes || !older_one_waits(id);
    if (unlimited() || bytes <= changed.bytes || (bypasses && fits(changed, bytes))) {
        set_size(changed, bytes);
        return grant_result::granted;
    }
    if (bytes > m_settings.bytes) {
        return grant_result::too_large;
    }
    changed.wanted_bytes = bytes;
    changed.waiting_since = now;
    m_waiting.insert(id.value);
    return grant_result::waiting;
}

void memory_budget::set_activity(holder_id id, holder_activity activity, common::steady_time now) {
    const auto found = m_holders.find(id.value);
    if (found != m_holders.end()) {
        found->second.activity = activity;
        restart_window(found->second, now);
    }
}

void memory_budget::record_progress(holder_id id, std::size_t bytes, common::steady_time now) {
    const auto found = m_holders.find(id.value);
    if (found == m_holders.end()) {
        return;
    }
    roll_window(found->second, now);
    found->second.window_bytes += bytes;
    found->second.last_progress = now;
}

memory_budget::effects memory_budget::tick(common::steady_time now) {
    effects result;
    for (auto& [id, each] : m_holders) {
        roll_window(each, now);
    }
    grant_waiting(result, now);
    evict_for_waiting(result, now);
    refuse_expired(result, now);
    return result;
}

bool memory_budget::fits(const holder& changed, std::size_t bytes) const {
    const std::size_t used = m_used - changed.bytes + bytes;
    if (is_small(bytes)) {
        return used <= m_settings.bytes + m_settings.small_reserve_bytes;
    }
    const std::size_t other_large = m_large_holders - (is_small(changed.bytes) ? 0 : 1);
    if (other_large == 0) {
        return bytes <= m_settings.bytes && used <= m_settings.bytes + m_settings.small_reserve_bytes;
    }
    return static_cast<double>(used) <= static_cast<double>(m_settings.bytes) * shared_fraction;
}

bool memory_budget::older_one_waits(holder_id id) const {
    return !m_waiting.empty() && *m_waiting.begin() < id.value;
}

void memory_budget::set_size(holder& changed, std::size_t bytes) {
    m_large_holders -= is_small(changed.bytes) ? 0 : 1;
    m_large_holders += is_small(bytes) ? 0 : 1;
    m_used = m_used - changed.bytes + bytes;
    changed.bytes = bytes;
}

void memory_budget::restart_window(holder& each, common::steady_time now) const {
    each.last_progress = now;
    each.window_start = now;
    each.window_bytes = 0;
    each.bytes_per_second.reset();
}

void memory_budget::roll_window(holder& each, common::steady_time now) const {
    const auto elapsed = now - each.window_start;
    if (elapsed < m_settings.rate_window) {
        return;
    }
    each.bytes_per_second =
        static_cast<double>(each.window_bytes) / std::chrono::duration<double>(elapsed).count();
    each.window_start = now;
    each.window_bytes = 0;
}

void memory_budget::grant_waiting(effects& result, common::steady_time now) {
    bool large_one_waits = false;
    for (auto position = m_waiting.begin(); position != m_waiting.end();) {
        holder& waiting = m_holders.at(*position);
        const bool small = is_small(waiting.wanted_bytes);
        if ((large_one_waits && !small) || !fits(waiting, waiting.wanted_bytes)) {
            large_one_waits = large_one_waits || !small;
            ++position;
            continue;
        }
        set_size(waiting, waiting.wanted_bytes);
        waiting.waiting_since.reset();
        restart_window(waiting, now);
        result.push_back(memory_granted{{*position}});
        position = m_waiting.erase(position);
    }
}

/// The holders that may be ended for others, in the order in which they yield: those without progress for
/// longest, then the slowest, then the largest.
std::vector<holder_id> memory_budget::yielding_holders(common::steady_time now) const {
    struct candidate {
        holder_id id;
        common::steady_time last_progress;
        bool stalled = false;
        double bytes_per_second = 0;
        std::size_t bytes = 0;
    };
    std::vector<candidate> candidates;
    for (const auto& [id, each] : m_holders) {
        if (each.activity == holder_activity::held || each.waiting_since || each.ended || each.bytes == 0) {
            continue;
        }
        const bool stalled = now - each.last_progress >= m_settings.rate_window;
        const bool slow = each.bytes_per_second &&
                          *each.bytes_per_second < static_cast<double>(m_settings.min_bytes_per_second);
        if (stalled || slow) {
            candidates.push_back(
                {{id}, each.last_progress, stalled, each.bytes_per_second.value_or(0), each.bytes});
        }
    }
    std::ranges::sort(candidates, [](const candidate& a, const candidate& b) {
        if (a.stalled != b.stalled) {
            return a.stalled;
        }
        if (a.stalled && a.last_progress != b.last_progress) {
            return a.last_progress < b.last_progress;
        }
        return std::tuple(a.bytes_per_second, b.bytes, a.id) < std::tuple(b.bytes_per_second, a.bytes, b.id);
    });
    std::vector<holder_id> ids;
    ids.reserve(candidates.size());
    for (const candidate& each : candidates) {
        ids.push_back(each.id);
    }
    return ids;
}

/// Ends as many holders as the first waiting one needs.
void memory_budget::evict_for_waiting(effects& result, common::steady_time now) {
    if (m_waiting.empty()) {
        return;
    }
    const holder& first = m_holders.at(*m_waiting.begin());
    const std::size_t limit =
        is_small(first.wanted_bytes)
            ? m_settings.bytes + m_settings.small_reserve_bytes
            : static_cast<std::size_t>(static_cast<double>(m_settings.bytes) * shared_fraction);
    const std::size_t wanted = m_used - first.bytes + first.wanted_bytes;
    std::size_t missing = wanted > limit ? wanted - limit : 0;
    for (const auto& [id, each] : m_holders) {
        missing -= each.ended ? std::min(missing, each.bytes) : 0;
    }
    for (const holder_id id : yielding_holders(now)) {
        if (missing == 0) {
            return;
        }
        holder& yielding = m_holders.at(id.value);
        yielding.ended = true;
        missing -= std::min(missing, yielding.bytes);
        result.push_back(holder_evicted{id});
    }
}

/// Refuses what has waited too long. Of those that hold much, only the youngest at once: its memory may be
/// enough for the others.
void memory_budget::refuse_expired(effects& result, common::steady_time now) {
    std::vector<std::uint64_t> refused;
    std::optional<std::uint64_t> youngest_large;
    for (const std::uint64_t id : m_waiting) {
        const holder& waiting = m_holders.at(id);
        if (now - *waiting.waiting_since < m_settings.max_wait) {
            continue;
        }
        if (is_small(waiting.bytes)) {
            refused.push_back(id);
        } else {
            youngest_large = id;
        }
    }
    if (youngest_large) {
        refused.push_back(*youngest_large);
    }
    for (const std::uint64_t id : refused) {
        holder& waiting = m_holders.at(id);
        waiting.waiting_since.reset();
        waiting.ended = true;
        m_waiting.erase(id);
        result.push_back(memory_refused{{id}});
    }
}

} // namespace boragehollow::resources
