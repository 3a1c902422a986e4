#pragma once

#include "boragehollow/common/sliding_window.hpp"
#include "boragehollow/common/time.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace boragehollow::admission {

/// When a large body may be sent, and how long the transfer may take.
struct transfer_window {
    std::chrono::milliseconds begin_after{0};
    std::chrono::milliseconds duration{0};

    bool operator==(const transfer_window&) const = default;
};

/// How much of a link large bodies may use in one direction.
struct transfer_limits {
    double share = 0.75; ///< The rest is for small messages.
    /// A body that would wait longer is refused: another target may have capacity.
    std::chrono::milliseconds max_wait{600};
};

/// Request bodies. Those of this host's own callers arrive without a reservation, so a quarter of the link
/// stays free for them.
inline constexpr transfer_limits incoming_limits{0.75, std::chrono::milliseconds(600)};

/// Response bodies. All of them are scheduled. The call has to run before its response is sent, so less of
/// the caller's time is left for a wait than before a request.
inline constexpr transfer_limits outgoing_limits{0.9, std::chrono::milliseconds(300)};

/// Schedules the large bodies that cross this host's link in one direction. Concurrent bodies would fill the
/// link for seconds and delay small calls, log reads and gossip.
class transfer_schedule {
public:
    /// `megabits` is the bandwidth of the host's link in Mbit/s.
    explicit transfer_schedule(double megabits, transfer_limits limits = incoming_limits);

    /// Reserves a transfer. If the link is reserved for too long, the error is the time until it is free.
    tl::expected<transfer_window, std::chrono::milliseconds> reserve(std::size_t bytes,
                                                                     common::steady_time now);

    /// Reserves a transfer that cannot be refused any more, such as the response to a call that has run.
    transfer_window append(std::size_t bytes, common::steady_time now);

    /// Time until the link is free, if that is too long for another transfer.
    std::optional<std::chrono::milliseconds> excessive_wait(common::steady_time now) const;

    /// Share of the reservable link time that is in use, from 0 to 1.
    double utilization(common::steady_time now);

private:
    struct reserved_time {
        std::chrono::duration<double> value{0};

        reserved_time& operator+=(const reserved_time& other) {
            value += other.value;
            return *this;
        }
    };

    static constexpr std::chrono::seconds utilization_window{1};
    static constexpr std::size_t slice_count = 5;

    transfer_limits m_limits;
    double m_bytes_per_second;
    common::sliding_window<reserved_time, slice_count> m_recent{utilization_window};
    common::steady_time m_reserved_until{};
};

} // namespace boragehollow::admission
