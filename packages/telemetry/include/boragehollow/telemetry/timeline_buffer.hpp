#pragma once

#include "boragehollow/common/hybrid_clock.hpp"
#include "boragehollow/telemetry/event_catalogue.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::telemetry {

/// One event of the timeline. The number, level and channel are kept as received, since a peer of another
/// release may send events that are not in this catalogue.
struct timeline_event {
    common::hybrid_time at;
    std::string host;
    std::uint16_t number = 0;
    std::string level;
    std::string channel;
    std::string text;
    std::map<std::string, std::string> fields;

    bool operator==(const timeline_event&) const = default;
};

struct timeline_page {
    std::vector<timeline_event> events;
    std::uint64_t dropped = 0; ///< Events evicted since the process started.
};

/// Bounded buffer of the newest events of one host. Owned by the timeline duty; not thread-safe.
class timeline_buffer {
public:
    /// Keeps `capacity` events at most, and fewer where their estimated size exceeds `max_bytes`.
    timeline_buffer(std::size_t capacity, std::size_t max_bytes)
        : m_capacity(capacity), m_max_bytes(max_bytes) {}

    void add(timeline_event event);

    /// The newest `limit` events that are later than `since`, oldest first.
    timeline_page query(std::optional<common::hybrid_time> since, std::size_t limit) const;

    std::uint64_t dropped() const { return m_dropped; }
    std::size_t size() const { return m_events.size(); }

private:
    void evict_oldest();

    std::deque<timeline_event> m_events;
    std::size_t m_capacity;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
};

/// Merges the events of several hosts by timestamp, then host name. Events of one host with equal timestamps
/// keep their order.
std::vector<timeline_event> merge_timelines(const std::vector<std::vector<timeline_event>>& timelines);

} // namespace boragehollow::telemetry
