#include "boragehollow/admission/instance_tracker.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

/// Bounds the memory. A host restarts its target only a few times a day.
constexpr std::size_t max_withdrawn_instances = 256;

/// A delayed announcement is seconds late. Incarnations before the last few ended long before.
constexpr std::size_t max_restored_instances = 8;

/// Used when a departure did not state its incarnation: the sequence numbers of a new incarnation start
/// again, so an announcement with a higher number than this is a delayed one of the departed incarnation.
constexpr std::uint64_t max_initial_sequence = 2;

} // namespace

std::vector<withdrawn_instance>::iterator instance_tracker::find_withdrawn(const std::string& id) {
    return std::ranges::find(m_withdrawn, id, &withdrawn_instance::id);
}

withdrawn_instance& instance_tracker::latest_entry(const std::string& id) {
    const auto found = find_withdrawn(id);
    if (found != m_withdrawn.end()) {
        std::rotate(found, found + 1, m_withdrawn.end());
        return m_withdrawn.back();
    }
    if (m_withdrawn.size() >= max_withdrawn_instances) {
        m_withdrawn.erase(m_withdrawn.begin());
    }
    return m_withdrawn.emplace_back(withdrawn_instance{.id = id});
}

bool instance_tracker::has_ended(const instance_announcement& announcement) {
    const auto found = find_withdrawn(announcement.id);
    if (found == m_withdrawn.end() || !found->ended) {
        return false;
    }
    if (found->incarnation_unknown && announcement.sequence > max_initial_sequence) {
        // The departure did not state the incarnation; this delayed announcement does.
        found->incarnation = announcement.incarnation;
        found->incarnation_unknown = false;
    }
    return !found->incarnation_unknown && announcement.incarnation <= found->incarnation;
}

bool instance_tracker::is_draining(const instance_announcement& announcement) const {
    return std::ranges::any_of(m_withdrawn, [&](const withdrawn_instance& withdrawn) {
        return !withdrawn.ended && withdrawn.id == announcement.id &&
               announcement.incarnation <= withdrawn.incarnation;
    });
}

bool instance_tracker::is_outdated(const instance_announcement& announcement) {
    if (has_ended(announcement)) {
        return true;
    }
    if (!m_current) {
        return false;
    }
    const instance_announcement& last = m_current->last;
    if (announcement.incarnation != last.incarnation) {
        return announcement.incarnation < last.incarnation;
    }
    return announcement.id == last.id && announcement.sequence <= last.sequence;
}

announcement_result instance_tracker::record_announcement(const instance_announcement& announcement,
                                                          steady_time now) {
    if (!m_settings.service.empty() && announcement.service != m_settings.service) {
        return announcement_rejected{"service " + announcement.service};
    }
    if (m_settings.address && announcement.address != *m_settings.address) {
        return announcement_rejected{"address " + common::to_string(announcement.address)};
    }
    if (is_outdated(announcement)) {
        return announcement_outdated{};
    }
    const auto before = current();
    const bool same = m_current && m_current->last.id == announcement.id &&
                      m_current->last.incarnation == announcement.incarnation;
    tracked_instance next{announcement, now, true, same};
    announcement_accepted accepted;
    if (is_draining(announcement)) {
        next.last.state = target_state::draining;
    } else if (announcement.state == target_state::draining) {
        withdrawn_instance& withdrawn = latest_entry(announcement.id);
        withdrawn = {announcement.id, announcement.incarnation, false, false};
        accepted.withdrawn = true;
    }
    m_current = std::move(next);
    accepted.changed = before != current();
    return accepted;
}

bool instance_tracker::record_departure(const std::string& id, std::uint64_t incarnation) {
    const bool was_current = m_current && m_current->last.id == id &&
                             (incarnation == 0 || incarnation >= m_current->last.incarnation);
    const std::uint64_t known = std::max(incarnation, was_current ? m_current->last.incarnation : 0);
    withdrawn_instance& withdrawn = latest_entry(id);
    withdrawn.incarnation_unknown = known == 0 && !was_current && withdrawn.incarnation == 0;
    withdrawn.incarnation = std::max(withdrawn.incarnation, known);
    withdrawn.ended = true;
    if (was_current) {
        m_current.reset();
    }
    return was_current;
}

bool instance_tracker::restore(const std::vector<withdrawn_instance>& withdrawn) {
    const auto before = current();
    std::vector<withdrawn_instance> merged = withdrawn;
    std::erase_if(merged, [this](const withdrawn_instance& earlier) {
        const auto known = find_withdrawn(earlier.id);
        return known != m_withdrawn.end() && (known->ended || !earlier.ended) &&
               known->incarnation >= earlier.incarnation;
    });
    for (const withdrawn_instance& earlier : merged) {
        std::erase_if(m_withdrawn, [&](const withdrawn_instance& known) { return known.id == earlier.id; });
    }
    m_withdrawn.insert(m_withdrawn.begin(), merged.begin(), merged.end());
    if (m_current && has_ended(m_current->last)) {
        m_current.reset();
    } else if (m_current && is_draining(m_current->last)) {
        m_current->last.state = target_state::draining;
    }
    return before != current();
}

bool instance_tracker::complete_history() {
    const auto before = current();
    m_history_known = true;
    return before != current();
}

std::vector<withdrawn_instance> instance_tracker::latest_withdrawn() const {
    const std::size_t count = std::min(m_withdrawn.size(), max_restored_instances);
    return {m_withdrawn.end() - static_cast<std::ptrdiff_t>(count), m_withdrawn.end()};
}

bool instance_tracker::mark_unreachable() {
    if (!m_current || !m_current->reachable) {
        return false;
    }
    m_current->reachable = false;
    return true;
}

bool instance_tracker::expire_if_silent(steady_time now) {
    if (!m_current || now - m_current->last_announced <= m_settings.silence_timeout) {
        return false;
    }
    m_current.reset();
    return true;
}

std::optional<current_instance> instance_tracker::current() const {
    if (!m_current || !m_current->reachable) {
        return std::nullopt;
    }
    const bool available = m_history_known || m_current->announced_again;
    if (!available && m_current->last.state == target_state::ready) {
        return std::nullopt;
    }
    const instance_announcement& last = m_current->last;
    return current_instance{last.id, last.address, last.service, last.slots, last.state, last.version};
}

} // namespace boragehollow::admission
