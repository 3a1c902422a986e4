#include "boragehollow/balancing/attempt_budget.hpp"

#include <algorithm>

namespace boragehollow::balancing {

void attempt_budget::set_policy(double ratio, double min_per_second) {
    m_ratio = ratio;
    m_min_per_second = min_per_second;
}

attempt_budget::slice& attempt_budget::current(steady_time now) {
    constexpr auto slice_length = std::chrono::duration_cast<std::chrono::milliseconds>(window) /
                                  static_cast<std::int64_t>(slice_count);
    const std::int64_t number = now.time_since_epoch() / slice_length;
    // Clears the slices that have left the window, at most all of them.
    const std::int64_t passed =
        std::clamp<std::int64_t>(number - m_newest, 0, static_cast<std::int64_t>(slice_count));
    for (std::int64_t i = 0; i < passed; ++i) {
        m_slices.at(static_cast<std::size_t>(number - i) % slice_count) = {};
    }
    m_newest = std::max(m_newest, number);
    return m_slices.at(static_cast<std::size_t>(m_newest) % slice_count);
}

void attempt_budget::add_call(steady_time now) {
    ++current(now).calls;
}

bool attempt_budget::try_take(steady_time now) {
    slice& newest = current(now);
    std::uint64_t calls = 0;
    std::uint64_t taken = 0;
    for (const slice& each : m_slices) {
        calls += each.calls;
        taken += each.taken;
    }
    const double by_calls = m_ratio * static_cast<double>(calls);
    // The minimum applies per second, so that an idle service cannot accumulate budget for a burst.
    const bool allowed = static_cast<double>(taken) + 1.0 <= by_calls ||
                         static_cast<double>(newest.taken) + 1.0 <= m_min_per_second;
    if (allowed) {
        ++newest.taken;
    }
    return allowed;
}

} // namespace boragehollow::balancing
