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

/// Queue of one class of work. Callers take turns; the calls of one caller keep their order.
class fair_queue {
public:
    /// With `fair` off all calls share one turn and leave in the order of arrival.
    void set_fair(bool fair);

    void push(waiting_call call);
    waiting_call pop();
    std::optional<waiting_call> remove(admission_id id);
    /// Removes the newest call of the caller that has the most queued.
    std::optional<waiting_call> remove_newest_of_longest();
    std::vector<waiting_call> remove_expired(steady_time now);
    std::vector<waiting_call> remove_if(const std::function<bool(const admission_request&)>& condition);

    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    std::size_t size_of(const std::string& caller) const;
    std::size_t longest() const;
    /// Calls that are served before the next call of `caller`.
    std::size_t ahead_of(const std::string& caller) const;
    /// The newest call of the caller that has the most queued, when that caller has more than this one.
    std::optional<waiting_call> displace_for(const admission_request& request);
    /// The call that is next in turn; the queue must not be empty.
    const waiting_call& next() const;
    std::optional<steady_time> earliest_expiry() const;

private:
    using line = std::deque<waiting_call>;

    const std::string& turn_of(const std::string& caller) const;
    waiting_call take(const std::string& turn, const line::const_iterator& position);

    bool m_fair = true;
    std::size_t m_size = 0;
    std::map<std::string, line> m_lines;
    std::deque<std::string> m_turns;
    std::unordered_map<std::uint64_t, std::string> m_turn_of_id;
    std::set<std::pair<steady_time, std::uint64_t>> m_expiries;
};

} // namespace boragehollow::admission
