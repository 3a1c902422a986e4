#pragma once

#include "boragehollow/common/time.hpp"

#include <compare>
#include <cstdint>
#include <mutex>

namespace boragehollow::common {

/// Timestamp of a hybrid logical clock: wall time, and a counter that orders events with the same wall time.
struct hybrid_time {
    wall_time wall{};
    std::uint32_t counter = 0;

    auto operator<=>(const hybrid_time&) const = default;
};

/// Hybrid logical clock of one process. An event after a received message always gets a later timestamp than
/// the message, even when this host's wall clock is behind the sender's. Thread-safe.
class hybrid_clock {
public:
    /// Timestamp of a local event.
    hybrid_time stamp(wall_time now);

    /// Advances the clock past a received timestamp and returns the timestamp of the receipt. A timestamp
    /// further ahead than `max_remote_lead` is ignored, so that one wrong clock does not advance all others.
    hybrid_time observe(hybrid_time remote, wall_time now);

    static constexpr std::chrono::minutes max_remote_lead{5};

private:
    hybrid_time advance(wall_time now);

    std::mutex m_mutex;
    hybrid_time m_last;
};

} // namespace boragehollow::common
