#include "boragehollow/balancing/caller_wait_estimator.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

/// First tries are far more frequent than this, also on a route with few calls.
constexpr std::chrono::seconds period{30};

/// Routes that come and go with the configuration must not pile up.
constexpr std::size_t most_routes = 4'096;

} // namespace

std::chrono::milliseconds caller_wait_estimator::estimate_wait(const std::string& route,
                                                               std::chrono::milliseconds left,
                                                               common::steady_time now) {
    if (m_routes.size() >= most_routes && !m_routes.contains(route)) {
        m_routes.clear();
    }
    const auto [found, added] = m_routes.try_emplace(route);
    usual_time& usual = found->second;
    if (added) {
        usual.period_began = now;
    }
    if (now - usual.period_began >= period) {
        usual.longest_before = usual.longest;
        usual.longest = std::chrono::milliseconds(0);
        usual.period_began = now;
    }
    usual.longest = std::max(usual.longest, left);
    return std::max(usual.longest, usual.longest_before) - left;
}

} // namespace boragehollow::balancing
