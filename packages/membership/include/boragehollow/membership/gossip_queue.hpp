#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/membership/member.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragehollow::membership {

/// Member entries to piggyback on datagrams: urgent ones first, then those sent least often. A token bucket
/// limits the bytes, so that a burst of changes cannot exceed the daemon's share of the network.
class gossip_queue {
public:
    gossip_queue(std::size_t bytes_per_second, std::size_t burst_bytes, common::steady_time now);

    /// Replaces an older entry of the same host and resets its number of transmissions.
    void add(member_ref value, bool urgent);

    /// Appends entries for one datagram to `members`, as many as `available_bytes` and the token bucket
    /// allow. An entry that has been taken `transmissions` times is removed from the queue.
    void take(std::size_t available_bytes, std::size_t transmissions, common::steady_time now,
              std::vector<member>& members);

    bool has_tokens(common::steady_time now);
    std::size_t size() const { return m_by_host.size(); }

private:
    struct queue_position {
        bool non_urgent = false; ///< Urgent entries sort first.
        std::size_t sent = 0;
        std::uint64_t arrival = 0;
        std::string host;

        auto operator<=>(const queue_position&) const = default;
    };

    struct queued {
        member_ref value;
        std::size_t bytes = 0;
        queue_position position;
    };

    void refill(common::steady_time now);

    double m_rate;
    double m_burst;
    double m_tokens;
    common::steady_time m_refilled;
    std::uint64_t m_arrivals = 0;
    std::unordered_map<std::string, queued> m_by_host;
    std::set<queue_position> m_order;
};

} // namespace boragehollow::membership
