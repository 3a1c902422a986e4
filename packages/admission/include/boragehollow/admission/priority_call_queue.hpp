#pragma once

#include "boragehollow/admission/account_shares.hpp"
#include "boragehollow/admission/waiting_call.hpp"

#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace boragehollow::admission {

/// Queue of one work class, ordered by priority. Within a priority, calls that can still meet their soft
/// deadline go first and the rest follow: under overload a FIFO queue would let every call miss it.
///
/// One in four calls is taken from a lower priority, to prevent starvation.
///
/// Within a priority, the calls of client accounts are taken in proportion to the weights of the accounts. A
/// call without an account is taken when it is older than the call of the account whose turn it is.
class priority_call_queue {
public:
    void push(waiting_call call);

    /// Takes the next call. `service_time` is the mean service time of this work class.
    waiting_call pop(steady_time now, microseconds service_time);
    std::optional<waiting_call> remove(admission_id id);

    /// Makes room for `request` by removing a call of the lowest priority, if that is below the priority of
    /// `request`, or one of an account that has more waiting calls for its weight than that of `request`. The
    /// removed call is the newest of the account with the most waiting calls for its weight.
    std::optional<waiting_call> evict_for(const admission_request& request);
    std::vector<waiting_call> remove_expired(steady_time now);
    std::vector<waiting_call> remove_if(const std::function<bool(const admission_request&)>& condition);

    bool empty() const { return m_calls.empty(); }
    std::size_t size() const { return m_calls.size(); }

    /// Number of queued calls that would run before `request`.
    std::size_t calls_ahead_of(const admission_request& request, steady_time now,
                               microseconds service_time) const;

    /// The oldest call of the highest priority; the queue must not be empty.
    const waiting_call& next() const { return m_calls.front(); }
    std::optional<steady_time> earliest_expiry() const;

private:
    using call_list = std::list<waiting_call>;

    using is_candidate = std::function<bool(const waiting_call&)>;

    call_list::iterator select_next(steady_time now, microseconds service_time);
    call_list::iterator select_by_account(call_list::iterator begin, call_list::iterator end,
                                          const is_candidate& candidate);
    waiting_call extract(call_list::iterator position);

    /// Number of queued calls of other accounts that have the request's rank and run before it.
    std::size_t calls_of_accounts_ahead(const admission_request& request,
                                        const is_candidate& candidate) const;

    account_shares m_shares;
    call_list m_calls; ///< By priority, then by arrival.
    unsigned m_consecutive_highest = 0;
};

} // namespace boragehollow::admission
