#pragma once

#include "boragehollow/common/time.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>

namespace boragehollow::admission {

/// When a large body may be sent, and how long the transfer may take.
struct transfer_window {
    std::chrono::milliseconds begin_after{0};
    std::chrono::milliseconds duration{0};

    bool operator==(const transfer_window&) const = default;
};

/// Schedules large bodies that other daemons send over this host's link. Concurrent bodies would fill the
/// link for seconds and delay small calls, log reads and gossip.
class transfer_schedule {
public:
    /// `megabits` is the bandwidth of the host's link in Mbit/s.
    explicit transfer_schedule(double megabits);

    /// Reserves a transfer. If the link is reserved for too long, the error is the time until it is free.
    tl::expected<transfer_window, std::chrono::milliseconds> reserve(std::size_t bytes,
                                                                     common::steady_time now);

private:
    double m_bytes_per_second;
    common::steady_time m_reserved_until{};
};

} // namespace boragehollow::admission
