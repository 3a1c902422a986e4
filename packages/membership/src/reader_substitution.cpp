#include "boragehollow/membership/reader_substitution.hpp"

#include <algorithm>

namespace boragehollow::membership {

namespace {

/// A decision that comes this late follows a pause of this process. The confirmations of that time are still
/// in its queues.
constexpr std::chrono::milliseconds max_lateness{150};

} // namespace

void reader_substitution::start(common::steady_time now, common::random_source& random) {
    if (!m_confirmed_at) {
        confirm(now, random);
    }
}

void reader_substitution::confirm(common::steady_time confirmed_at, common::random_source& random) {
    if (m_confirmed_at && confirmed_at <= *m_confirmed_at) {
        return;
    }
    m_confirmed_at = confirmed_at;
    m_overdue_at = confirmed_at + m_settings.max_confirmation_age;
    m_decide_at = m_overdue_at + random.jitter(m_settings.start_window);
    m_postponed = false;
}

bool reader_substitution::reaches_log(common::steady_time now) const {
    return m_active && m_active->reached_log_at &&
           now - *m_active->reached_log_at < m_settings.attempt_duration;
}

void reader_substitution::confirmed_by_others(common::steady_time confirmed_at, common::steady_time now,
                                              common::random_source& random) {
    confirm(confirmed_at, random);
    if (!is_overdue(now) && !reaches_log(now)) {
        m_active.reset();
    }
}

void reader_substitution::confirmed_by_own_read(common::steady_time confirmed_at, common::steady_time now,
                                                common::random_source& random) {
    confirm(confirmed_at, random);
    if (!m_active) {
        return;
    }
    const bool is_replaced =
        m_other_reader_seen && now - *m_other_reader_seen <= m_settings.max_confirmation_age;
    if (is_replaced) {
        m_active.reset();
        return;
    }
    m_active->reached_log_at = now;
}

void reader_substitution::tick(common::steady_time now, std::size_t members, bool is_log_reader,
                               common::random_source& random) {
    if (m_active) {
        review_attempt(now, members, random);
        return;
    }
    begin_if_chosen(now, members, is_log_reader, random);
}

void reader_substitution::review_attempt(common::steady_time now, std::size_t members,
                                         common::random_source& random) {
    if (now < m_active->review_at) {
        return;
    }
    if (reaches_log(now) || is_chosen(members, random)) {
        m_active->review_at = now + m_settings.attempt_duration;
        return;
    }
    m_active.reset();
    m_decide_at = now + random.jitter(m_settings.retry_interval);
}

void reader_substitution::begin_if_chosen(common::steady_time now, std::size_t members, bool is_log_reader,
                                          common::random_source& random) {
    if (now < m_decide_at) {
        return;
    }
    if (now - m_decide_at > max_lateness && !m_postponed) {
        m_postponed = true;
        m_decide_at = now + random.jitter(m_settings.start_window);
        return;
    }
    if (is_log_reader || !is_chosen(members, random)) {
        m_decide_at = now + m_settings.retry_interval;
        return;
    }
    m_active = substitution{now + m_settings.attempt_duration, std::nullopt};
}

bool reader_substitution::is_chosen(std::size_t members, common::random_source& random) const {
    return members <= m_settings.max_candidates || random.index(members) < m_settings.max_candidates;
}

common::steady_time reader_substitution::next_due() const {
    return m_active ? m_active->review_at : m_decide_at;
}

} // namespace boragehollow::membership
