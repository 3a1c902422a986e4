#include "boragehollow/balancing/token_budget.hpp"

#include <algorithm>
#include <cmath>

namespace boragehollow::balancing {

namespace {

constexpr double fade_seconds = 10.0;

} // namespace

void token_budget::set_policy(double ratio, double min_per_second) {
    m_ratio = ratio;
    m_min_per_second = min_per_second;
    m_time_tokens = std::min(m_time_tokens, min_per_second);
}

void token_budget::refresh(steady_time now) {
    if (!m_started) {
        m_started = true;
        m_refreshed = now;
        m_time_tokens = m_min_per_second;
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_refreshed).count();
    if (seconds <= 0) {
        return;
    }
    m_refreshed = now;
    m_call_tokens *= std::exp(-seconds / fade_seconds);
    // At most one second's worth, so that an idle service cannot save up for a burst.
    m_time_tokens = std::min(m_min_per_second, m_time_tokens + seconds * m_min_per_second);
}

void token_budget::add_call(steady_time now) {
    refresh(now);
    m_call_tokens += m_ratio;
}

bool token_budget::try_take(steady_time now) {
    refresh(now);
    for (double* tokens : {&m_time_tokens, &m_call_tokens}) {
        if (*tokens >= 1.0) {
            *tokens -= 1.0;
            return true;
        }
    }
    return false;
}

} // namespace boragehollow::balancing
