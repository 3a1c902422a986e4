#include "boragehollow/balancing/target_health.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

constexpr std::uint32_t max_doublings = 16;

} // namespace

bool target_health::trial_due(bool idempotent, const config::ejection_policy& policy, steady_time now) const {
    if (!m_ejected || m_trial_running) {
        return false;
    }
    return now >= (idempotent ? m_ejected_until : m_ejected_until + policy.base_time);
}

void target_health::eject(const config::ejection_policy& policy, steady_time now) {
    const auto multiplier = 1U << std::min(m_ejection_count, max_doublings);
    m_ejected = true;
    m_ejected_until = now + std::min(policy.max_time, policy.base_time * multiplier);
    ++m_ejection_count;
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
        // Only a trial counts: other responses belong to attempts started before the ejection.
        if (trial && too_slow && now >= m_ejected_until) {
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
    if (m_ejection_count > 0 && now - m_readmitted >= policy.max_time) {
        m_ejection_count = 0;
    }
    return false;
}

bool target_health::record_failure(bool trial, bool may_eject, const config::ejection_policy& policy,
                                   steady_time now) {
    if (trial) {
        m_trial_running = false;
    }
    // Also counted while ejected, so that panic mode prefers the target with the fewest failures.
    ++m_consecutive_failures;
    if (m_ejected) {
        if (trial && now >= m_ejected_until) {
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

void target_health::record_inconclusive(bool trial) {
    if (trial) {
        m_trial_running = false;
    }
}

} // namespace boragehollow::balancing
