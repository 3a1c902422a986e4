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
    /// Mean time for which a call holds a slot, as reported by the target's daemon; 0 until it is known.
    fractional_microseconds service_time{0};
    std::uint32_t sent_since_report = 0; ///< Calls of this daemon since the target's load report.
    double recent_refusals = 0;          ///< Decaying count of refusals by the target's daemon.
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

    /// Calls at the target: the report, discounted by its age towards the mean use of the service's slots,
    /// and the calls sent since.
    double estimated_calls(double mean_use, milliseconds decay, steady_time now) const;

    /// Multiplier (at least 1) for the cost of choosing a target that has just refused calls.
    double refusal_factor(steady_time now) const;

    /// Multiplier (at least 1) for the cost of choosing the target, from load reports, refusals and failures.
    double cost_factor(steady_time now) const;
};

} // namespace boragehollow::balancing
