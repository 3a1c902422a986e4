#pragma once

#include "boragehollow/admission/waiting_call.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragehollow::admission {

/// Queue of one work class with round robin between callers and FIFO order per caller.
class fair_queue {
public:
    /// With `fair` off, all calls share one queue in FIFO order.
    void set_fair(bool fair);

    void push(waiting_call call);
    waiting_call pop();
    std::optional<waiting_call> remove(admission_id id);

    /// Removes the newest call of the caller with the most queued calls.
    std::optional<waiting_call> remove_newest_of_longest();
    std::vector<waiting_call> remove_expired(steady_time now);
    std::vector<waiting_call> remove_if(const std::function<bool(const admission_request&)>& condition);

    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    std::size_t queue_size(const std::string& caller) const;
    std::size_t max_queue_size() const;

    /// Number of queued calls that would run before a new call of `caller`.
    std::size_t calls_ahead_of(const std::string& caller) const;

    /// Makes room for `request` by removing the newest call of the caller with the most queued calls, if that
    /// caller has more than the caller of `request`.
    std::optional<waiting_call> evict_for(const admission_request& request);

    /// The call that `pop` would take; the queue must not be empty.
    const waiting_call& next() const;
    std::optional<steady_time> earliest_expiry() const;

private:
    using caller_queue = std::deque<waiting_call>;

    const std::string& rotation_key(const std::string& caller) const;
    waiting_call extract(const std::string& key, const caller_queue::const_iterator& position);

    bool m_fair = true;
    std::size_t m_size = 0;
    std::map<std::string, caller_queue> m_queues;
    std::deque<std::string> m_rotation;
    std::unordered_map<std::uint64_t, std::string> m_key_of_id;
    std::set<std::pair<steady_time, std::uint64_t>> m_expiries;
};

} // namespace boragehollow::admission
