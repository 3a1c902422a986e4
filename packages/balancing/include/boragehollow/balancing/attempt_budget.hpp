#pragma once

#include "boragehollow/common/sliding_window.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstdint>

namespace boragehollow::balancing {

using common::steady_time;

/// Budget of additional attempts (retries or hedges) over a sliding window: at most a ratio of the calls in
/// the window, plus a minimum per second. It prevents a retry storm on a failing service.
///
/// A token bucket would allow twice the ratio in a window that starts with a full bucket.
class attempt_budget {
public:
    static constexpr std::chrono::seconds window{10};

    void set_policy(double ratio, double min_per_second);

    void add_call(steady_time now);

    /// Takes one additional attempt from the budget; false when it is exhausted.
    bool try_take(steady_time now);

private:
    struct totals {
        std::uint64_t calls = 0;
        std::uint64_t taken = 0;

        totals& operator+=(const totals& other) {
            calls += other.calls;
            taken += other.taken;
            return *this;
        }
    };

    static constexpr std::size_t slice_count = 10;

    double m_ratio = 0;
    double m_min_per_second = 0;
    common::sliding_window<totals, slice_count> m_window{window};
};

} // namespace boragehollow::balancing
