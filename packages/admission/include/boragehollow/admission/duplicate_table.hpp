#pragma once

#include "boragehollow/admission/messages.hpp"

#include <cstddef>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace boragehollow::admission {

/// Bounded set of ids of queued, running and recently ended calls. Stores 128-bit digests, so that the memory
/// use does not depend on the length of the ids.
class duplicate_table {
public:
    duplicate_table(std::size_t capacity, milliseconds retention);

    /// True when the call with this id is queued, running or within the retention time.
    bool contains(std::string_view id, steady_time now);

    bool full(steady_time now);

    /// Adds `id` without expiry until `retain` or `forget`. Check `full` first.
    void hold(std::string_view id);

    /// Prolongs the retention of all later `retain` calls by the longest `delay` so far: a repeat that was
    /// sent within the retention time may be under way for that long.
    void extend_retention(milliseconds delay);

    /// Starts the retention time of `id`.
    void retain(std::string_view id, steady_time now);

    void forget(std::string_view id);

    std::size_t size() const { return m_entries.size(); }

private:
    struct digest {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        bool operator==(const digest&) const = default;
    };
    struct digest_hash {
        std::size_t operator()(const digest& value) const { return value.low; }
    };

    static digest digest_of(std::string_view id);
    void expire(steady_time now);

    std::size_t m_capacity;
    milliseconds m_retention;
    milliseconds m_max_delay{0};
    std::unordered_map<digest, steady_time, digest_hash> m_entries; ///< `steady_time::max()` while held.
    std::deque<std::pair<steady_time, digest>> m_expiries;          ///< In order of expiry.
};

} // namespace boragehollow::admission
