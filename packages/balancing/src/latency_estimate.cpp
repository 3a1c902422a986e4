#include "boragehollow/balancing/latency_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace boragehollow::balancing {

namespace {

constexpr double smoothing_weight = 0.3;
constexpr fractional_microseconds min_latency{1};
constexpr fractional_microseconds first_bucket_edge{20};
constexpr double bucket_growth = 1.2; // 96 buckets cover 20 us to about 13 minutes.
constexpr double min_samples = 30;
// Counts are halved at this total, so that quantiles reflect the last few thousand calls.
constexpr double decay_total = 2'000;

double decay_weight(steady_time since, steady_time now, milliseconds decay) {
    const double idle = std::max(0.0, std::chrono::duration<double, std::milli>(now - since).count());
    return std::exp(-idle / static_cast<double>(std::max<milliseconds::rep>(1, decay.count())));
}

} // namespace

void peak_ewma_estimate::add(microseconds sample, milliseconds decay, steady_time now) {
    const fractional_microseconds value = std::max(min_latency, fractional_microseconds(sample));
    if (value > m_value) {
        m_value = value;
    } else {
        const double weight = decay_weight(m_updated, now, decay);
        m_value = m_value * weight + value * (1.0 - weight);
    }
    m_updated = now;
}

void peak_ewma_estimate::raise(microseconds sample, milliseconds decay, steady_time now) {
    const fractional_microseconds value(sample);
    // Compared with the decayed estimate; otherwise equal failures of several targets would keep their
    // initial order.
    if (value > m_value * decay_weight(m_updated, now, decay)) {
        m_value = value;
        m_updated = now;
    }
}

fractional_microseconds peak_ewma_estimate::value(fractional_microseconds typical, milliseconds decay,
                                                  steady_time now) const {
    if (empty()) {
        return typical;
    }
    if (m_value <= typical) {
        return m_value;
    }
    return typical + (m_value - typical) * decay_weight(m_updated, now, decay);
}

void smoothed_latency::add(microseconds sample) {
    const fractional_microseconds value(sample);
    m_value = m_samples == 0 ? value : m_value + (value - m_value) * smoothing_weight;
    ++m_samples;
}

void smoothed_latency::reset() {
    *this = smoothed_latency();
}

void latency_quantiles::add(microseconds sample) {
    const double ratio = std::max(1.0, fractional_microseconds(sample) / first_bucket_edge);
    const auto bucket = static_cast<std::size_t>(std::log(ratio) / std::log(bucket_growth));
    m_counts.at(std::min(bucket, bucket_count - 1)) += 1;
    m_total += 1;
    if (m_total >= decay_total) {
        decay_counts();
    }
}

void latency_quantiles::decay_counts() {
    m_total = 0;
    for (double& count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

microseconds latency_quantiles::quantile(double fraction) const {
    if (m_total < min_samples) {
        return microseconds(0);
    }
    const double wanted = m_total * fraction;
    double seen = 0;
    fractional_microseconds edge = first_bucket_edge;
    for (const double count : m_counts) {
        seen += count;
        edge *= bucket_growth;
        if (seen >= wanted) {
            break;
        }
    }
    return std::chrono::duration_cast<microseconds>(edge);
}

} // namespace boragehollow::balancing
