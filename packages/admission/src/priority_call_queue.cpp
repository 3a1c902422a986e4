#include "boragehollow/admission/priority_call_queue.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

namespace boragehollow::admission {

namespace {

/// After this many consecutive calls of the highest priority, one call of the next lower priority is taken.
constexpr unsigned max_consecutive_highest = 3;

bool meets_soft_deadline(const admission_request& request, steady_time now, microseconds service_time) {
    return !request.soft_deadline || now + service_time <= *request.soft_deadline;
}

/// Waiting calls of an account.
struct account_load {
    std::size_t calls = 0;
    double weight = 1;

    double per_weight() const { return static_cast<double>(calls) / weight; }
};

} // namespace

void priority_call_queue::push(waiting_call call) {
    if (!call.request.account.empty()) {
        m_shares.add_waiting(call.request.account);
    }
    // Behind all calls of the same or a better rank.
    const auto behind = std::find_if(m_calls.rbegin(), m_calls.rend(), [&call](const waiting_call& other) {
        return rank_of(other.request) <= rank_of(call.request);
    });
    m_calls.insert(behind.base(), std::move(call));
}

priority_call_queue::call_list::iterator priority_call_queue::select_next(steady_time now,
                                                                          microseconds service_time) {
    const call_rank highest = rank_of(m_calls.front().request);
    const auto has_other_rank = [](call_rank rank) {
        return [rank](const waiting_call& call) { return rank_of(call.request) != rank; };
    };
    auto begin = m_calls.begin();
    auto end = std::find_if(begin, m_calls.end(), has_other_rank(highest));
    if (!highest.outer) {
        // The calls that wait for an inner call hold slots of their own targets, so it does not take turns.
    } else if (end != m_calls.end() && m_consecutive_highest >= max_consecutive_highest) {
        m_consecutive_highest = 0;
        begin = end;
        end = std::find_if(begin, m_calls.end(), has_other_rank(rank_of(begin->request)));
    } else {
        ++m_consecutive_highest;
    }
    const is_candidate meets = [now, service_time](const waiting_call& call) {
        return meets_soft_deadline(call.request, now, service_time);
    };
    const auto meeting_deadline = select_by_account(begin, end, meets);
    return meeting_deadline != end ? meeting_deadline
                                   : select_by_account(begin, end, [](const waiting_call&) { return true; });
}

/// The first candidate of the account whose turn it is, or an older one without an account.
priority_call_queue::call_list::iterator
priority_call_queue::select_by_account(call_list::iterator begin, call_list::iterator end,
                                       const is_candidate& candidate) {
    auto without_account = end;
    auto selected = end;
    double selected_start = 0;
    bool selected_is_older = false;
    for (auto it = begin; it != end; ++it) {
        if (!candidate(*it)) {
            continue;
        }
        if (it->request.account.empty()) {
            if (without_account == end) {
                without_account = it;
            }
            continue;
        }
        const double start = m_shares.start_of(it->request.account);
        if (selected == end || start < selected_start) {
            selected = it;
            selected_start = start;
            selected_is_older = without_account == end;
        }
    }
    return selected_is_older ? selected : (without_account != end ? without_account : selected);
}

waiting_call priority_call_queue::extract(call_list::iterator position) {
    waiting_call call = std::move(*position);
    m_calls.erase(position);
    if (!call.request.account.empty()) {
        m_shares.remove_waiting(call.request.account);
    }
    return call;
}

waiting_call priority_call_queue::pop(steady_time now, microseconds service_time) {
    const auto next = select_next(now, service_time);
    if (!next->request.account.empty()) {
        m_shares.record_service(next->request.account, next->request.weight);
    }
    return extract(next);
}

std::optional<waiting_call> priority_call_queue::remove(admission_id id) {
    const auto found = std::find_if(m_calls.begin(), m_calls.end(),
                                    [id](const waiting_call& call) { return call.request.id == id; });
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    return extract(found);
}

std::optional<waiting_call> priority_call_queue::evict_for(const admission_request& request) {
    if (m_calls.empty() || rank_of(m_calls.back().request) < rank_of(request)) {
        return std::nullopt;
    }
    const call_rank lowest = rank_of(m_calls.back().request);
    std::map<std::string_view, account_load> loads;
    for (auto it = m_calls.rbegin(); it != m_calls.rend() && rank_of(it->request) == lowest; ++it) {
        account_load& load = loads[it->request.account];
        load.weight = it->request.weight;
        ++load.calls;
    }
    const account_load& own = loads[request.account];
    const double own_load = static_cast<double>(own.calls + 1) / request.weight;
    // Calls without an account are not counted against each other.
    const auto load_of = [](const auto& entry) {
        return entry.first.empty() ? 0 : entry.second.per_weight();
    };
    const auto heaviest = std::ranges::max_element(loads, {}, load_of);
    const bool lower_rank = rank_of(request) < lowest;
    if (!lower_rank && load_of(*heaviest) <= own_load) {
        return std::nullopt;
    }
    const bool by_account = load_of(*heaviest) > 0;
    const auto newest = std::ranges::find_if(m_calls.rbegin(), m_calls.rend(), [&](const waiting_call& call) {
        return !by_account || call.request.account == heaviest->first;
    });
    return extract(std::prev(newest.base()));
}

std::vector<waiting_call>
priority_call_queue::remove_if(const std::function<bool(const admission_request&)>& condition) {
    std::vector<waiting_call> removed;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        const auto current = it++;
        if (condition(current->request)) {
            removed.push_back(extract(current));
        }
    }
    return removed;
}

std::vector<waiting_call> priority_call_queue::remove_expired(steady_time now) {
    std::vector<waiting_call> expired;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        const auto current = it++;
        if (current->expires <= now) {
            expired.push_back(extract(current));
        }
    }
    return expired;
}

std::size_t priority_call_queue::calls_ahead_of(const admission_request& request, steady_time now,
                                                microseconds service_time) const {
    const bool meeting_deadline = meets_soft_deadline(request, now, service_time);
    const is_candidate runs_before = [&](const waiting_call& call) {
        return rank_of(call.request) == rank_of(request) &&
               (!meeting_deadline || meets_soft_deadline(call.request, now, service_time));
    };
    const auto higher = std::ranges::count_if(
        m_calls, [&](const waiting_call& call) { return rank_of(call.request) < rank_of(request); });
    const std::size_t equal = request.account.empty()
                                  ? static_cast<std::size_t>(std::ranges::count_if(m_calls, runs_before))
                                  : calls_of_accounts_ahead(request, runs_before);
    return static_cast<std::size_t>(higher) + equal;
}

std::size_t priority_call_queue::calls_of_accounts_ahead(const admission_request& request,
                                                         const is_candidate& candidate) const {
    std::size_t ahead = 0;
    std::map<std::string_view, account_load> loads;
    for (const waiting_call& call : m_calls) {
        if (!candidate(call)) {
            continue;
        }
        if (call.request.account.empty() || call.request.account == request.account) {
            ++ahead;
        }
        account_load& load = loads[call.request.account];
        load.weight = call.request.weight;
        ++load.calls;
    }
    const auto own = loads.find(request.account);
    const double own_calls = own == loads.end() ? 0 : static_cast<double>(own->second.calls);
    const double start = m_shares.start_of(request.account) + own_calls / request.weight;
    for (const auto& [account, load] : loads) {
        const double lead = start - m_shares.start_of(std::string(account));
        if (account.empty() || account == request.account || lead < 0) {
            continue;
        }
        ahead += std::min(load.calls, static_cast<std::size_t>(std::floor(lead * load.weight)) + 1);
    }
    return ahead;
}

std::optional<steady_time> priority_call_queue::earliest_expiry() const {
    std::optional<steady_time> earliest;
    for (const waiting_call& call : m_calls) {
        if (!earliest || call.expires < *earliest) {
            earliest = call.expires;
        }
    }
    return earliest;
}

} // namespace boragehollow::admission
