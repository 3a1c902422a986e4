#include "boragehollow/admission/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace boragehollow::admission {

namespace {

constexpr common::fractional_microseconds min_measurable_latency{1};
constexpr int max_window_samples = 20;
constexpr int min_samples = 5;
constexpr milliseconds max_window_duration{250};
// Latency may double before the limit decreases, since service times vary without overload.
constexpr double latency_tolerance = 2.0;
// The baseline follows a permanent change of the service time within about 50 windows.
constexpr double baseline_drift = 0.02;
constexpr double min_gradient = 0.5;
constexpr double shed_factor = 0.9;

} // namespace

void adaptive_limit::set_bounds(double min_limit, double max_limit) {
    const bool was_unlimited = m_limit >= m_max_limit;
    m_min_limit = std::max(1.0, std::min(min_limit, max_limit));
    m_max_limit = std::max(1.0, max_limit);
    m_limit = was_unlimited ? m_max_limit : std::clamp(m_limit, m_min_limit, m_max_limit);
}

void adaptive_limit::observe(microseconds latency, double in_use, steady_time now) {
    if (m_samples == 0) {
        m_window_start = now;
    }
    ++m_samples;
    m_sum += latency;
    m_peak_in_use = std::max(m_peak_in_use, in_use);
    const bool duration_reached = now - m_window_start >= max_window_duration && m_samples >= min_samples;
    if (m_samples >= max_window_samples || duration_reached) {
        close_window(now);
    }
}

void adaptive_limit::close_window(steady_time now) {
    const common::fractional_microseconds mean = std::max(min_measurable_latency, m_sum / m_samples);
    if (m_baseline_latency.count() == 0 || mean < m_baseline_latency) {
        m_baseline_latency = mean;
    } else {
        m_baseline_latency += (mean - m_baseline_latency) * baseline_drift;
    }
    const double gradient = std::clamp(latency_tolerance * (m_baseline_latency / mean), min_gradient, 1.0);
    // The added 1 lets the limit recover. A limit of which less than half is used must not grow: no load
    // tests it.
    const double headroom = m_peak_in_use * 2 >= m_limit ? 1.0 : 0.0;
    const double proposed = m_limit * gradient + headroom;
    m_limit = std::clamp((m_limit + proposed) / 2, m_min_limit, m_max_limit);
    m_samples = 0;
    m_sum = {};
    m_peak_in_use = 0;
    m_window_start = now;
}

void adaptive_limit::observe_shed() {
    m_limit = std::max(m_min_limit, m_limit * shed_factor);
}

std::uint32_t adaptive_limit::value() const {
    return static_cast<std::uint32_t>(std::floor(m_limit));
}

} // namespace boragehollow::admission
