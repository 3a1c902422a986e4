#include "boragehollow/balancing/target_health.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

constexpr std::uint32_t most_doublings = 16;

} // namespace

bool target_health::trial_due(bool idempotent, const config::ejection_policy& policy, steady_time now) const {
    if (!m_ejected || m_trial_running) {
        return false;
    }
    return now >= (idempotent ? m_until : m_until + policy.base_time);
}

void target_health::eject(const config::ejection_policy& policy, steady_time now) {
    const auto growth = 1U << std::min(m_times, most_doublings);
    m_ejected = true;
    m_until = now + std::min(policy.max_time, policy.base_time * growth);
    ++m_times;
}

void target_health::readmit(steady_time now) {
    m_ejected = false;
    m_consecutive_failures = 0;
    m_readmitted = now;
}

bool target_health::record_success(bool trial, bool too_slow, bool may_eject,
                                   const config::ejection_policy& policy, steady_time now) {
    if (trial) {
        m_trial_running = false;
    }
    if (m_ejected) {
        // Only a trial counts: other answers belong to attempts that began before the ejection.
        if (trial && too_slow && now >= m_until) {
            eject(policy, now);
        } else if (trial && !too_slow) {
            readmit(now);
        }
        return false;
    }
    m_consecutive_failures = 0;
    if (too_slow && may_eject) {
        eject(policy, now);
        return true;
    }
    if (m_times > 0 && now - m_readmitted >= policy.max_time) {
        m_times = 0;
    }
    return false;
}

bool target_health::record_failure(bool trial, bool may_eject, const config::ejection_policy& policy,
                                   steady_time now) {
    if (trial) {
        m_trial_running = false;
    }
    // Counted while ejected too: in panic mode the target that failed least is then tried first.
    ++m_consecutive_failures;
    if (m_ejected) {
        if (trial && now >= m_until) {
            eject(policy, now);
        }
        return false;
    }
    const bool enough =
        policy.consecutive_failures > 0 && m_consecutive_failures >= policy.consecutive_failures;
    if (!enough || !may_eject) {
        return false;
    }
    eject(policy, now);
    return true;
}

void target_health::record_no_verdict(bool trial) {
    if (trial) {
        m_trial_running = false;
    }
}

} // namespace boragehollow::balancing
