#pragma once

#include "boragehollow/admission/messages.hpp"

namespace boragehollow::admission {

/// Concurrency limit that decreases while latency exceeds a slowly moving baseline, and recovers afterwards.
class adaptive_limit {
public:
    /// Sets the bounds. A limit that stood at the previous maximum moves to the new one.
    void set_bounds(double min_limit, double max_limit);

    /// Records the latency of a completed short call. `in_use` is the number of calls running when it ended.
    void observe(microseconds latency, double in_use, steady_time now);

    /// Records that the target reported overload.
    void observe_shed();

    /// Current limit in calls, at least 1.
    std::uint32_t value() const;

private:
    void close_window(steady_time now);

    double m_min_limit = 1;
    double m_max_limit = 1;
    double m_limit = 1;
    common::fractional_microseconds m_baseline_latency{0};
    common::fractional_microseconds m_sum{0};
    double m_peak_in_use = 0;
    int m_samples = 0;
    steady_time m_window_start;
};

} // namespace boragehollow::admission
