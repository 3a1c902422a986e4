#pragma once

#include "boragehollow/common/time.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace boragehollow::common {

/// Totals over a sliding window that consists of `SliceCount` slices of equal length. The window covers the
/// current slice and the complete ones before it.
///
/// `Totals` is an aggregate with `operator+=`.
template <class Totals, std::size_t SliceCount>
class sliding_window {
public:
    explicit sliding_window(std::chrono::milliseconds length)
        : m_slice_length(length / static_cast<std::int64_t>(SliceCount)) {}

    /// The slice of `now`. Slices that have left the window are cleared.
    Totals& current(steady_time now) {
        const std::int64_t number = now.time_since_epoch() / m_slice_length;
        const std::int64_t passed =
            std::clamp<std::int64_t>(number - m_newest, 0, static_cast<std::int64_t>(SliceCount));
        for (std::int64_t i = 0; i < passed; ++i) {
            m_slices.at(static_cast<std::size_t>(number - i) % SliceCount) = {};
        }
        m_newest = std::max(m_newest, number);
        return m_slices.at(static_cast<std::size_t>(m_newest) % SliceCount);
    }

    Totals total(steady_time now) {
        current(now);
        Totals sum{};
        for (const Totals& slice : m_slices) {
            sum += slice;
        }
        return sum;
    }

private:
    std::chrono::milliseconds m_slice_length;
    std::array<Totals, SliceCount> m_slices{};
    std::int64_t m_newest = 0; ///< Number of the newest slice since the epoch of the clock.
};

} // namespace boragehollow::common
