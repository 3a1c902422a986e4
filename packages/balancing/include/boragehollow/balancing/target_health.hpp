#pragma once

#include "boragehollow/balancing/target_view.hpp"
#include "boragehollow/config/resource.hpp"

#include <cstdint>

namespace boragehollow::balancing {

/// Outlier ejection of one target. Failures or high latency eject it for an increasing time; it is readmitted
/// after a successful trial call, with one trial at a time.
class target_health {
public:
    bool ejected() const { return m_ejected; }
    std::uint32_t consecutive_failures() const { return m_consecutive_failures; }

    /// True when the next call may be a trial. A call that is not idempotent is used only if there was no
    /// idempotent one for another base time.
    bool trial_due(bool idempotent, const config::ejection_policy& policy, steady_time now) const;
    void begin_trial() { m_trial_running = true; }

    /// `too_slow` means that the target's latency is far above the median of its service. True when the
    /// target was ejected.
    bool record_success(bool trial, bool too_slow, bool may_eject, const config::ejection_policy& policy,
                        steady_time now);
    bool record_failure(bool trial, bool may_eject, const config::ejection_policy& policy, steady_time now);

    /// The attempt ended without information on the health of the target.
    void record_inconclusive(bool trial);

private:
    void eject(const config::ejection_policy& policy, steady_time now);
    void readmit(steady_time now);

    bool m_ejected = false;
    bool m_trial_running = false;
    std::uint32_t m_consecutive_failures = 0;
    std::uint32_t m_ejection_count = 0;
    steady_time m_ejected_until;
    steady_time m_readmitted;
};

} // namespace boragehollow::balancing
