#pragma once

#include "boragehollow/common/time.hpp"

#include <compare>
#include <cstdint>
#include <mutex>

namespace boragehollow::common {

/// Timestamp of a hybrid logical clock: wall time, and a counter that orders events within the same instant.
struct hybrid_time {
    wall_time wall{};
    std::uint32_t counter = 0;

    auto operator<=>(const hybrid_time&) const = default;
};

/// Hybrid logical clock of one process. An event that follows a received message is always stamped later than
/// the message, also when this host's wall clock is behind the sender's.
class hybrid_clock {
public:
    /// Stamps a local event.
    hybrid_time stamp(wall_time now);

    /// Takes a received timestamp into account and stamps the receipt. A stamp that is further ahead than the
    /// bound is ignored, so that one broken clock does not carry all others away.
    hybrid_time observe(hybrid_time remote, wall_time now);

    static constexpr std::chrono::minutes max_remote_lead{5};

private:
    hybrid_time advance(wall_time now);

    std::mutex m_mutex;
    hybrid_time m_last;
};

} // namespace boragehollow::common
