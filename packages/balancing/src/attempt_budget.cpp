#include "boragehollow/balancing/attempt_budget.hpp"

namespace boragehollow::balancing {

void attempt_budget::set_policy(double ratio, double min_per_second) {
    m_ratio = ratio;
    m_min_per_second = min_per_second;
}

void attempt_budget::add_call(steady_time now) {
    ++m_window.current(now).calls;
}

bool attempt_budget::try_take(steady_time now) {
    totals& newest = m_window.current(now);
    const totals all = m_window.total(now);
    const double by_calls = m_ratio * static_cast<double>(all.calls);
    // The minimum applies per second, so that an idle service cannot accumulate budget for a burst.
    const bool allowed = static_cast<double>(all.taken) + 1.0 <= by_calls ||
                         static_cast<double>(newest.taken) + 1.0 <= m_min_per_second;
    if (allowed) {
        ++newest.taken;
    }
    return allowed;
}

} // namespace boragehollow::balancing
