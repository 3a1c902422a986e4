#pragma once

#include "boragehollow/common/time.hpp"

#include <array>
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
    static constexpr std::size_t slice_count = 10;

    struct slice {
        std::uint64_t calls = 0;
        std::uint64_t taken = 0;
    };

    slice& current(steady_time now);

    double m_ratio = 0;
    double m_min_per_second = 0;
    std::array<slice, slice_count> m_slices{};
    std::int64_t m_newest = 0; ///< Index of the newest slice since the epoch of the clock.
};

} // namespace boragehollow::balancing
