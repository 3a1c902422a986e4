#include "boragehollow/admission/instance_ledger.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

/// Ids of ended incarnations that are kept; a host restarts its target a few times a day.
constexpr std::size_t most_ended = 256;

} // namespace

bool instance_ledger::is_outdated(const instance_announcement& announcement) const {
    const auto ended = m_ended.find(announcement.id);
    if (ended != m_ended.end() && announcement.incarnation <= ended->second) {
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

ledger_verdict instance_ledger::announce(const instance_announcement& announcement, steady_time now) {
    if (!m_settings.service.empty() && announcement.service != m_settings.service) {
        return announcement_foreign{"service " + announcement.service};
    }
    if (m_settings.address && announcement.address != *m_settings.address) {
        return announcement_foreign{"address " + common::to_string(announcement.address)};
    }
    if (is_outdated(announcement)) {
        return announcement_outdated{};
    }
    const auto before = current();
    const bool same = m_current && m_current->last.id == announcement.id &&
                      m_current->last.incarnation == announcement.incarnation;
    record next{announcement, now, true};
    if (same && m_current->last.state == target_state::draining) {
        next.last.state = target_state::draining;
    }
    m_current = std::move(next);
    return announcement_taken{before != current()};
}

bool instance_ledger::leave(const std::string& id, steady_time) {
    const bool was_current = m_current && m_current->last.id == id;
    if (m_ended.size() >= most_ended) {
        m_ended.erase(m_ended.begin());
    }
    std::uint64_t& incarnation = m_ended[id];
    if (was_current) {
        incarnation = std::max(incarnation, m_current->last.incarnation);
        m_current.reset();
    }
    return was_current;
}

bool instance_ledger::unreachable() {
    if (!m_current || !m_current->reachable) {
        return false;
    }
    m_current->reachable = false;
    return true;
}

bool instance_ledger::check_silence(steady_time now) {
    if (!m_current || now - m_current->heard <= m_settings.silence) {
        return false;
    }
    m_current.reset();
    return true;
}

std::optional<current_instance> instance_ledger::current() const {
    if (!m_current || !m_current->reachable) {
        return std::nullopt;
    }
    const instance_announcement& last = m_current->last;
    return current_instance{last.id, last.address, last.service, last.slots, last.state};
}

} // namespace boragehollow::admission
