#pragma once

#include "boragehollow/balancing/attempt.hpp"

#include <array>
#include <cstddef>

namespace boragehollow::balancing {

using common::fractional_microseconds;

/// Latency of one target: rises at once to a slower sample and falls slowly afterwards.
class peak_estimate {
public:
    void add(microseconds sample, milliseconds decay, steady_time now);

    /// Raises the estimate when the sample is slower, and ignores it otherwise. For attempts that ended
    /// without an answer: a fast failure says nothing good about a target.
    void raise(microseconds sample, milliseconds decay, steady_time now);

    /// Without new samples the estimate returns to `typical`, so that a target which was slow is tried again.
    fractional_microseconds value(fractional_microseconds typical, milliseconds decay, steady_time now) const;

    bool empty() const { return m_value == fractional_microseconds::zero(); }

private:
    fractional_microseconds m_value{0};
    steady_time m_updated;
};

/// Smoothed latency of one target that a single slow call does not move far; used for ejection.
class smoothed_latency {
public:
    void add(microseconds sample);
    fractional_microseconds value() const { return m_value; }
    int samples() const { return m_samples; }
    void reset();

private:
    fractional_microseconds m_value{0};
    int m_samples = 0;
};

/// Quantiles of the recent latencies of a service, in buckets that grow by a fifth.
class latency_quantiles {
public:
    void add(microseconds sample);

    /// Upper edge of the bucket that holds the quantile; 0 until there are enough samples.
    microseconds quantile(double fraction) const;

private:
    static constexpr std::size_t bucket_count = 96;

    void fade();

    std::array<double, bucket_count> m_counts{};
    double m_total = 0;
};

} // namespace boragehollow::balancing
