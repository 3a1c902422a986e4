#include "boragehollow/admission/instance_tracker.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

/// Bounds the memory. A host restarts its target only a few times a day.
constexpr std::size_t max_ended_instances = 256;

/// Used when a departure did not state its incarnation: the sequence numbers of a new incarnation start
/// again, so an announcement with a higher number than this is a delayed one of the departed incarnation.
constexpr std::uint64_t max_initial_sequence = 2;

} // namespace

bool instance_tracker::has_ended(const instance_announcement& announcement) {
    const auto found = m_ended.find(announcement.id);
    if (found == m_ended.end()) {
        return false;
    }
    ended_instance& ended = found->second;
    if (ended.incarnation_unknown && announcement.sequence > max_initial_sequence) {
        // The departure did not state the incarnation; this delayed announcement does.
        ended = {announcement.incarnation, false};
    }
    return !ended.incarnation_unknown && announcement.incarnation <= ended.incarnation;
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
    tracked_instance next{announcement, now, true};
    if (same && m_current->last.state == target_state::draining) {
        next.last.state = target_state::draining;
    }
    m_current = std::move(next);
    return announcement_accepted{before != current()};
}

bool instance_tracker::record_departure(const std::string& id, std::uint64_t incarnation) {
    const bool was_current = m_current && m_current->last.id == id &&
                             (incarnation == 0 || incarnation >= m_current->last.incarnation);
    if (m_ended.size() >= max_ended_instances) {
        m_ended.erase(m_ended.begin());
    }
    const std::uint64_t known = std::max(incarnation, was_current ? m_current->last.incarnation : 0);
    ended_instance& ended = m_ended[id];
    ended.incarnation_unknown = known == 0 && !was_current && ended.incarnation == 0;
    ended.incarnation = std::max(ended.incarnation, known);
    if (was_current) {
        m_current.reset();
    }
    return was_current;
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
    const instance_announcement& last = m_current->last;
    return current_instance{last.id, last.address, last.service, last.slots, last.state};
}

} // namespace boragehollow::admission
