#pragma once

#include "boragehollow/balancing/attempt.hpp"
#include "boragehollow/balancing/latency_estimate.hpp"
#include "boragehollow/balancing/target_health.hpp"
#include "boragehollow/balancing/target_view.hpp"

namespace boragehollow::balancing {

/// State of one target: its announcement and local observations.
struct target_record {
    target_view view;
    bool matched = false; ///< Matches the target rules.
    bool local = false;   ///< In the failure domain of this daemon's callers.
    std::uint32_t outstanding = 0;
    peak_ewma_estimate peak;
    smoothed_latency smoothed;
    target_health health;
    double recent_refusals = 0; ///< Decaying count of refusals by the target's daemon.
    steady_time last_refusal;

    bool usable() const { return matched && view.state == target_state::ready && !view.lost(); }

    /// Applies a new announcement. A restart of the target resets the observations.
    void update(const target_view& newer);

    void record_refusal(steady_time now);
    void record_load(const piggybacked_load& load, steady_time now);

    /// Weight of the load report: 1 when new, falling to 0 at its maximum age.
    double report_weight(steady_time now) const;

    /// Slots in use: the larger of this daemon's own calls and the reported use times the report's weight.
    double estimated_slots_in_use(steady_time now) const;

    /// Multiplier (at least 1) for the cost of choosing the target, from load reports, refusals and failures.
    double cost_factor(steady_time now) const;
};

} // namespace boragehollow::balancing
