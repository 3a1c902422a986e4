#include "boragehollow/balancing/caller_wait_estimator.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

/// Even on a route with few calls, first requests (which state the full timeout) arrive far more often than
/// once per period.
constexpr std::chrono::seconds period_length{30};

/// Bounds the memory used by routes that were removed from the configuration.
constexpr std::size_t max_routes = 4'096;

} // namespace

std::chrono::milliseconds caller_wait_estimator::estimate_wait(const std::string& route,
                                                               std::chrono::milliseconds remaining,
                                                               common::steady_time now) {
    if (m_routes.size() >= max_routes && !m_routes.contains(route)) {
        m_routes.clear();
    }
    const auto [found, added] = m_routes.try_emplace(route);
    timeout_history& history = found->second;
    if (added) {
        history.period_start = now;
    }
    if (now - history.period_start >= period_length) {
        history.previous_max_timeout = history.max_timeout;
        history.max_timeout = std::chrono::milliseconds(0);
        history.period_start = now;
    }
    history.max_timeout = std::max(history.max_timeout, remaining);
    return std::max(history.max_timeout, history.previous_max_timeout) - remaining;
}

} // namespace boragehollow::balancing
