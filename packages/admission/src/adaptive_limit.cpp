#include "boragehollow/admission/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace boragehollow::admission {

namespace {

constexpr common::fractional_microseconds shortest_latency{1};
constexpr int window_samples = 20;
constexpr int least_samples = 5;
constexpr milliseconds window_time{250};
// Latency may double before the limit falls: the work of a service varies by itself.
constexpr double tolerance = 2.0;
// The minimum follows a lasting change of the service's work within about 50 windows.
constexpr double minimum_drift = 0.02;
constexpr double smallest_gradient = 0.5;
constexpr double shed_factor = 0.9;

} // namespace

void adaptive_limit::set_bounds(double lowest, double highest) {
    const bool was_unlimited = m_limit >= m_highest;
    m_lowest = std::max(1.0, std::min(lowest, highest));
    m_highest = std::max(1.0, highest);
    m_limit = was_unlimited ? m_highest : std::clamp(m_limit, m_lowest, m_highest);
}

void adaptive_limit::observe(microseconds latency, double in_use, steady_time now) {
    if (m_samples == 0) {
        m_window_start = now;
    }
    ++m_samples;
    m_sum += latency;
    m_peak_in_use = std::max(m_peak_in_use, in_use);
    const bool long_enough = now - m_window_start >= window_time && m_samples >= least_samples;
    if (m_samples >= window_samples || long_enough) {
        close_window(now);
    }
}

void adaptive_limit::close_window(steady_time now) {
    const common::fractional_microseconds mean = std::max(shortest_latency, m_sum / m_samples);
    if (m_minimum.count() == 0 || mean < m_minimum) {
        m_minimum = mean;
    } else {
        m_minimum += (mean - m_minimum) * minimum_drift;
    }
    const double gradient = std::clamp(tolerance * (m_minimum / mean), smallest_gradient, 1.0);
    // The added 1 lets the limit recover; a limit that is not used must not grow, since nothing tests it.
    const double headroom = m_peak_in_use * 2 >= m_limit ? 1.0 : 0.0;
    const double wanted = m_limit * gradient + headroom;
    m_limit = std::clamp((m_limit + wanted) / 2, m_lowest, m_highest);
    m_samples = 0;
    m_sum = {};
    m_peak_in_use = 0;
    m_window_start = now;
}

void adaptive_limit::observe_shed() {
    m_limit = std::max(m_lowest, m_limit * shed_factor);
}

std::uint32_t adaptive_limit::value() const {
    return static_cast<std::uint32_t>(std::floor(m_limit));
}

} // namespace boragehollow::admission
