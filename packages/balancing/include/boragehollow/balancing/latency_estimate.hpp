#pragma once

#include "boragehollow/balancing/attempt.hpp"

#include <array>
#include <cstddef>

namespace boragehollow::balancing {

using common::fractional_microseconds;

/// Peak EWMA latency of a target: rises immediately to a slower sample and decays exponentially.
class peak_ewma_estimate {
public:
    void add(microseconds sample, milliseconds decay, steady_time now);

    /// Raises the estimate to a slower sample and ignores a faster one. Used for attempts without a response,
    /// so that fast failures do not lower the estimate.
    void raise(microseconds sample, milliseconds decay, steady_time now);

    /// Without new samples the estimate decays to `typical`, so that a slow target is tried again.
    fractional_microseconds value(fractional_microseconds typical, milliseconds decay, steady_time now) const;

    bool empty() const { return m_value == fractional_microseconds::zero(); }

private:
    fractional_microseconds m_value{0};
    steady_time m_updated;
};

/// EWMA latency of a target, used for ejection. A single slow call changes it little.
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

/// Quantiles of the recent latencies of a service, from a histogram with buckets growing by 20%.
class latency_quantiles {
public:
    void add(microseconds sample);

    /// Upper edge of the bucket that contains the quantile; 0 until there are enough samples.
    microseconds quantile(double fraction) const;

private:
    static constexpr std::size_t bucket_count = 96;

    void decay_counts();

    std::array<double, bucket_count> m_counts{};
    double m_total = 0;
};

} // namespace boragehollow::balancing
