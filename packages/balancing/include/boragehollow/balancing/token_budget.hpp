#pragma once

#include "boragehollow/common/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace boragehollow::balancing {

using common::steady_time;

/// Budget of extra attempts (retries or hedges): in each span of `window` at most a ratio of the calls in it
/// plus a minimum for each second. It keeps retries from multiplying the load of a service that already
/// fails.
///
/// The span slides. A bucket of saved tokens would allow twice the ratio in a span that begins with a full
/// one.
class token_budget {
public:
    static constexpr std::chrono::seconds window{10};

    void set_policy(double ratio, double min_per_second);

    void add_call(steady_time now);

    /// Counts one extra attempt; false when there is no room for it.
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
    std::int64_t m_newest = 0; ///< Number of the newest slice since the epoch of the clock.
};

} // namespace boragehollow::balancing
