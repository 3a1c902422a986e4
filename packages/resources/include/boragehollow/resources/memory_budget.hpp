#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace boragehollow::resources {

/// A message up to this size is small: it may use the reserve when the rest of the memory is taken. This is a
/// body of 64 KB with the buffer that it is read into and the state of its call.
inline constexpr std::size_t max_small_message_bytes = 144 * 1024;

struct memory_budget_settings {
    std::size_t bytes = 0; ///< 0: unlimited.
    std::size_t small_reserve_bytes = 0;
    /// A transfer slower than this is ended when others wait for memory.
    std::size_t min_bytes_per_second = 16 * 1024;
    /// Progress is judged over this time.
    std::chrono::milliseconds rate_window{2'000};
    std::chrono::milliseconds max_wait{3'000};
};

struct holder_id {
    std::uint64_t value = 0;
    auto operator<=>(const holder_id&) const = default;
};

/// What a message that holds memory waits for.
enum class holder_activity {
    receiving, ///< Bytes of its sender.
    held,      ///< This daemon or another call. It is never ended for others.
    writing,   ///< Its receiver, which has to read.
};

enum class grant_result {
    granted,
    waiting,  ///< Its sender must not be read until a grant follows.
    too_large ///< Does not fit even when nothing else holds memory.
};

/// The waiting holder has got the size that it asked for.
struct memory_granted {
    holder_id id;
};

/// The holder waited too long. It keeps what it has until it is closed.
struct memory_refused {
    holder_id id;
};

/// The holder has to be ended, since others wait for memory and its peer is stalled or too slow.
struct holder_evicted {
    holder_id id;
};

using memory_effect = std::variant<memory_granted, memory_refused, holder_evicted>;

/// Divides the memory for messages of callers, targets and other daemons among them. Not thread-safe.
class memory_budget {
public:
    using effects = std::vector<memory_effect>;

    explicit memory_budget(const memory_budget_settings& settings) : m_settings(settings) {}

    holder_id open(holder_activity activity, common::steady_time now);
    /// Returns the memory of the holder.
    effects close(holder_id id, common::steady_time now);

    /// Sets the total size of a holder. A holder that waits keeps its former size.
    grant_result resize(holder_id id, std::size_t bytes, common::steady_time now);
    void set_activity(holder_id id, holder_activity activity, common::steady_time now);
    void record_progress(holder_id id, std::size_t bytes, common::steady_time now);

    /// To be called while holders wait.
    effects tick(common::steady_time now);

    bool unlimited() const { return m_settings.bytes == 0; }
    std::size_t used_bytes() const { return m_used; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct holder {
        std::size_t bytes = 0;
        std::size_t wanted_bytes = 0; ///< While it waits.
        holder_activity activity = holder_activity::receiving;
        std::optional<common::steady_time> waiting_since;
        common::steady_time last_progress;
        common::steady_time window_start;
        std::size_t window_bytes = 0;
        std::optional<double> bytes_per_second; ///< In the last complete window.
        bool ended = false;                     ///< It has been told to end.
    };

    bool fits(const holder& holder, std::size_t bytes) const;
    bool older_one_waits(holder_id id) const;
    void set_size(holder& holder, std::size_t bytes);
    void restart_window(holder& holder, common::steady_time now) const;
    void roll_window(holder& holder, common::steady_time now) const;
    void grant_waiting(effects& result, common::steady_time now);
    void evict_for_waiting(effects& result, common::steady_time now);
    void refuse_expired(effects& result, common::steady_time now);
    std::vector<holder_id> yielding_holders(common::steady_time now) const;

    memory_budget_settings m_settings;
    std::unordered_map<std::uint64_t, holder> m_holders;
    std::set<std::uint64_t> m_waiting; ///< Oldest holder first.
    std::size_t m_used = 0;
    std::size_t m_large_holders = 0;
    std::uint64_t m_next_id = 1;
};

} // namespace boragehollow::resources
