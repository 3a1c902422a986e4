#pragma once

#include "boragehollow/admission/messages.hpp"

namespace boragehollow::admission {

/// Concurrency limit that falls when latency grows above a slowly moving minimum, and recovers afterwards.
class adaptive_limit {
public:
    /// Sets the bounds; a new upper bound that is higher starts unlimited.
    void set_bounds(double lowest, double highest);

    /// One short call was answered. `in_use` is the number of calls that ran when it ended.
    void observe(microseconds latency, double in_use, steady_time now);

    /// The target answered that it is overloaded.
    void observe_shed();

    /// Whole calls, at least 1.
    std::uint32_t value() const;

private:
    void close_window(steady_time now);

    double m_lowest = 1;
    double m_highest = 1;
    double m_limit = 1;
    common::fractional_microseconds m_minimum{0};
    common::fractional_microseconds m_sum{0};
    double m_peak_in_use = 0;
    int m_samples = 0;
    steady_time m_window_start;
};

} // namespace boragehollow::admission
