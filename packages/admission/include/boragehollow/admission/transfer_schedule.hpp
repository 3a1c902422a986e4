#pragma once

#include "boragehollow/common/time.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>

namespace boragehollow::admission {

/// When a large body may be sent, and over which time.
struct transfer_window {
    std::chrono::milliseconds begin_after{0};
    std::chrono::milliseconds duration{0};

    bool operator==(const transfer_window&) const = default;
};

/// Hands out the time of this host's link to the large bodies that other daemons want to send. Bodies that
/// come together would fill the link for seconds, and the small calls, the store's answers and the gossip of
/// this host would wait behind them.
class transfer_schedule {
public:
    /// `megabits` is the rate of the host's link, in Mbit/s.
    explicit transfer_schedule(double megabits);

    /// Books a transfer. Where the link is taken for too long, the error is the time until it is free.
    tl::expected<transfer_window, std::chrono::milliseconds> reserve(std::size_t bytes,
                                                                     common::steady_time now);

private:
    double m_bytes_per_second;
    common::steady_time m_booked_until{};
};

} // namespace boragehollow::admission
