#pragma once

#include "boragehollow/balancing/attempt.hpp"
#include "boragehollow/balancing/latency_estimate.hpp"
#include "boragehollow/balancing/target_health.hpp"
#include "boragehollow/balancing/target_view.hpp"

namespace boragehollow::balancing {

/// What the balancer knows about one target: its announcement, and its own observations.
struct target_record {
    target_view view;
    bool matched = false; ///< Matches the target rules.
    bool local = false;   ///< In the failure domain of this daemon's callers.
    std::uint32_t outstanding = 0;
    peak_estimate peak;
    smoothed_latency smoothed;
    target_health health;
    double refusals = 0; ///< Fading count of refusals by the target's daemon.
    steady_time last_refusal;

    bool usable() const { return matched && view.state == target_state::ready && !view.lost(); }

    /// Takes over a new announcement. The observations stay unless the target was restarted.
    void update(const target_view& newer);

    void note_refusal(steady_time now);
    void note_load(const piggybacked_load& load, steady_time now);

    /// 1 for a fresh report, 0 for one that is too old to say anything.
    double report_weight(steady_time now) const;

    /// Slots in use: own calls, or the reported number where that is higher, by the report's weight.
    double estimated_use(steady_time now) const;

    /// Factor of at least 1 by which reports, refusals and failures make the target less attractive.
    double reluctance(steady_time now) const;
};

} // namespace boragehollow::balancing
