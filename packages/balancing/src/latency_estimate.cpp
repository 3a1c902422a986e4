#include "boragehollow/balancing/latency_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace boragehollow::balancing {

namespace {

constexpr double smoothing = 0.3;
constexpr double first_edge_us = 20.0;
constexpr double bucket_growth = 1.2; // 96 buckets reach from 20 us to about 13 minutes.
constexpr double least_samples = 30;
// Counts are halved at this total, so that the quantile follows the last few thousand calls.
constexpr double fade_total = 2'000;

double idle_weight(steady_time since, steady_time now, milliseconds decay) {
    const double idle = std::max(0.0, std::chrono::duration<double, std::milli>(now - since).count());
    return std::exp(-idle / static_cast<double>(std::max<milliseconds::rep>(1, decay.count())));
}

} // namespace

void peak_estimate::add(microseconds sample, milliseconds decay, steady_time now) {
    const double value = std::max(1.0, static_cast<double>(sample.count()));
    if (value > m_value_us) {
        m_value_us = value;
    } else {
        const double weight = idle_weight(m_updated, now, decay);
        m_value_us = m_value_us * weight + value * (1.0 - weight);
    }
    m_updated = now;
}

void peak_estimate::raise(microseconds sample, milliseconds decay, steady_time now) {
    const auto value = static_cast<double>(sample.count());
    // Compared with the faded estimate, else equal failures of several targets would keep their first order.
    if (value > m_value_us * idle_weight(m_updated, now, decay)) {
        m_value_us = value;
        m_updated = now;
    }
}

double peak_estimate::value_us(double typical_us, milliseconds decay, steady_time now) const {
    if (empty()) {
        return typical_us;
    }
    if (m_value_us <= typical_us) {
        return m_value_us;
    }
    return typical_us + (m_value_us - typical_us) * idle_weight(m_updated, now, decay);
}

void smoothed_latency::add(microseconds sample) {
    const auto value = static_cast<double>(sample.count());
    m_value_us = m_samples == 0 ? value : m_value_us + (value - m_value_us) * smoothing;
    ++m_samples;
}

void smoothed_latency::reset() {
    *this = smoothed_latency();
}

void latency_quantiles::add(microseconds sample) {
    const double ratio = std::max(1.0, static_cast<double>(sample.count()) / first_edge_us);
    const auto bucket = static_cast<std::size_t>(std::log(ratio) / std::log(bucket_growth));
    m_counts.at(std::min(bucket, bucket_count - 1)) += 1;
    m_total += 1;
    if (m_total >= fade_total) {
        fade();
    }
}

void latency_quantiles::fade() {
    m_total = 0;
    for (double& count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

microseconds latency_quantiles::quantile(double fraction) const {
    if (m_total < least_samples) {
        return microseconds(0);
    }
    const double wanted = m_total * fraction;
    double seen = 0;
    double edge = first_edge_us;
    for (const double count : m_counts) {
        seen += count;
        edge *= bucket_growth;
        if (seen >= wanted) {
            break;
        }
    }
    return microseconds(static_cast<std::int64_t>(edge));
}

} // namespace boragehollow::balancing
