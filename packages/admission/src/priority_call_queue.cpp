#include "boragehollow/admission/priority_call_queue.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::admission {

namespace {

/// Turns of the most urgent rank before one goes to the others.
constexpr unsigned urgent_turns = 3;

bool in_aim(const admission_request& request, steady_time now, microseconds service) {
    return !request.soft_deadline || now + service <= *request.soft_deadline;
}

} // namespace

void priority_call_queue::push(waiting_call call) {
    // Calls of one rank stand together, and a new one goes behind them.
    const auto behind = std::find_if(m_calls.rbegin(), m_calls.rend(), [&call](const waiting_call& other) {
        return other.request.priority <= call.request.priority;
    });
    m_calls.insert(behind.base(), std::move(call));
}

priority_call_queue::call_list::iterator priority_call_queue::choose(steady_time now, microseconds service) {
    const std::uint32_t urgent = m_calls.front().request.priority;
    const auto others = std::find_if(m_calls.begin(), m_calls.end(), [urgent](const waiting_call& call) {
        return call.request.priority != urgent;
    });
    auto begin = m_calls.begin();
    auto end = others;
    if (others != m_calls.end() && m_urgent_turns >= urgent_turns) {
        m_urgent_turns = 0;
        begin = others;
        const std::uint32_t rank = others->request.priority;
        end = std::find_if(others, m_calls.end(),
                           [rank](const waiting_call& call) { return call.request.priority != rank; });
    } else {
        ++m_urgent_turns;
    }
    const auto timely = std::find_if(
        begin, end, [&](const waiting_call& call) { return in_aim(call.request, now, service); });
    return timely != end ? timely : begin;
}

waiting_call priority_call_queue::take(call_list::iterator position) {
    waiting_call call = std::move(*position);
    m_calls.erase(position);
    return call;
}

waiting_call priority_call_queue::pop(steady_time now, microseconds service) {
    return take(choose(now, service));
}

std::optional<waiting_call> priority_call_queue::remove(admission_id id) {
    const auto found = std::find_if(m_calls.begin(), m_calls.end(),
                                    [id](const waiting_call& call) { return call.request.id == id; });
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    return take(found);
}

std::optional<waiting_call> priority_call_queue::displace_for(const admission_request& request) {
    if (m_calls.empty() || m_calls.back().request.priority <= request.priority) {
        return std::nullopt;
    }
    return take(std::prev(m_calls.end()));
}

std::vector<waiting_call>
priority_call_queue::remove_if(const std::function<bool(const admission_request&)>& condition) {
    std::vector<waiting_call> removed;
    for (auto at = m_calls.begin(); at != m_calls.end();) {
        const auto current = at++;
        if (condition(current->request)) {
            removed.push_back(take(current));
        }
    }
    return removed;
}

std::vector<waiting_call> priority_call_queue::remove_expired(steady_time now) {
    std::vector<waiting_call> expired;
    for (auto at = m_calls.begin(); at != m_calls.end();) {
        const auto current = at++;
        if (current->expires <= now) {
            expired.push_back(take(current));
        }
    }
    return expired;
}

std::size_t priority_call_queue::ahead_of(const admission_request& request, steady_time now,
                                          microseconds service) const {
    const bool timely = in_aim(request, now, service);
    return static_cast<std::size_t>(std::ranges::count_if(m_calls, [&](const waiting_call& call) {
        if (call.request.priority != request.priority) {
            return call.request.priority < request.priority;
        }
        return !timely || in_aim(call.request, now, service);
    }));
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
