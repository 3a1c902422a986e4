#pragma once

#include "boragehollow/balancing/target_view.hpp"
#include "boragehollow/config/resource.hpp"

#include <cstdint>

namespace boragehollow::balancing {

/// Ejection of one target: out for an increasing time after failures or high latency, and back through one
/// trial request at a time.
class target_health {
public:
    bool ejected() const { return m_ejected; }
    std::uint32_t consecutive_failures() const { return m_consecutive_failures; }

    /// True when the next call may be the trial. A call that is not idempotent is risked only when no other
    /// came for one more base time.
    bool trial_due(bool idempotent, const config::ejection_policy& policy, steady_time now) const;
    void begin_trial() { m_trial_running = true; }

    /// `too_slow` says that the target's latency is far above the median of its service. The result is true
    /// when this ejects the target.
    bool record_success(bool trial, bool too_slow, bool may_eject, const config::ejection_policy& policy,
                        steady_time now);
    bool record_failure(bool trial, bool may_eject, const config::ejection_policy& policy, steady_time now);

    /// The attempt ended without a verdict on the target.
    void record_no_verdict(bool trial);

private:
    void eject(const config::ejection_policy& policy, steady_time now);
    void readmit(steady_time now);

    bool m_ejected = false;
    bool m_trial_running = false;
    std::uint32_t m_consecutive_failures = 0;
    std::uint32_t m_times = 0;
    steady_time m_until;
    steady_time m_readmitted;
};

} // namespace boragehollow::balancing
