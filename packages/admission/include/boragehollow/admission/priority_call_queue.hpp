#pragma once

#include "boragehollow/admission/waiting_call.hpp"

#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace boragehollow::admission {

/// Queue of one class of work that serves urgent calls first, and within one rank those that can still be
/// answered in the time that their route aims at. Calls that have missed it wait behind them: at a crest a
/// queue in the order of arrival would answer everybody late.
///
/// One turn in a few goes to the less urgent ranks, so that they are never shut out.
class priority_call_queue {
public:
    void push(waiting_call call);

    /// Takes the next call; `service` is the time that a call of this class usually takes.
    waiting_call pop(steady_time now, microseconds service);
    std::optional<waiting_call> remove(admission_id id);

    /// Removes a call that waits behind where `request` would, so that there is room for it.
    std::optional<waiting_call> displace_for(const admission_request& request);
    std::vector<waiting_call> remove_expired(steady_time now);
    std::vector<waiting_call> remove_if(const std::function<bool(const admission_request&)>& condition);

    bool empty() const { return m_calls.empty(); }
    std::size_t size() const { return m_calls.size(); }

    /// Calls that are served before a call like `request`.
    std::size_t ahead_of(const admission_request& request, steady_time now, microseconds service) const;

    /// The call that has waited longest in the most urgent rank; the queue must not be empty.
    const waiting_call& next() const { return m_calls.front(); }
    std::optional<steady_time> earliest_expiry() const;

private:
    using call_list = std::list<waiting_call>;

    call_list::iterator choose(steady_time now, microseconds service);
    waiting_call take(call_list::iterator position);

    call_list m_calls; ///< In the order of the ranks, and of arrival within a rank.
    unsigned m_urgent_turns = 0;
};

} // namespace boragehollow::admission
