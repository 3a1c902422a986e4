#include "boragehollow/admission/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::admission {

namespace {

const std::string shared_turn;

} // namespace

const std::string& fair_queue::turn_of(const std::string& caller) const {
    return m_fair ? caller : shared_turn;
}

void fair_queue::set_fair(bool fair) {
    if (fair == m_fair) {
        return;
    }
    std::vector<waiting_call> calls = remove_if([](const admission_request&) { return true; });
    std::stable_sort(calls.begin(), calls.end(), [](const waiting_call& left, const waiting_call& right) {
        return left.enqueued < right.enqueued;
    });
    m_fair = fair;
    for (waiting_call& call : calls) {
        push(std::move(call));
    }
}

void fair_queue::push(waiting_call call) {
    const std::string turn = turn_of(call.request.caller);
    line& own = m_lines[turn];
    if (own.empty()) {
        m_turns.push_back(turn);
    }
    m_turn_of_id[call.request.id.value] = turn;
    m_expiries.emplace(call.expires, call.request.id.value);
    own.push_back(std::move(call));
    ++m_size;
}

waiting_call fair_queue::take(const std::string& turn, const line::const_iterator& position) {
    line& own = m_lines[turn];
    const auto taken = own.begin() + (position - own.cbegin());
    waiting_call call = std::move(*taken);
    own.erase(taken);
    --m_size;
    m_turn_of_id.erase(call.request.id.value);
    m_expiries.erase({call.expires, call.request.id.value});
    return call;
}

waiting_call fair_queue::pop() {
    const std::string turn = m_turns.front();
    m_turns.pop_front();
    line& own = m_lines[turn];
    waiting_call call = take(turn, own.begin());
    if (own.empty()) {
        m_lines.erase(turn);
    } else {
        m_turns.push_back(turn);
    }
    return call;
}

std::optional<waiting_call> fair_queue::remove(admission_id id) {
    const auto known = m_turn_of_id.find(id.value);
    if (known == m_turn_of_id.end()) {
        return std::nullopt;
    }
    const std::string turn = known->second;
    line& own = m_lines[turn];
    const auto position = std::find_if(own.begin(), own.end(),
                                       [id](const waiting_call& call) { return call.request.id == id; });
    waiting_call call = take(turn, position);
    if (own.empty()) {
        m_lines.erase(turn);
        m_turns.erase(std::find(m_turns.begin(), m_turns.end(), turn));
    }
    return call;
}

std::optional<waiting_call> fair_queue::remove_newest_of_longest() {
    const auto found =
        std::max_element(m_lines.begin(), m_lines.end(), [](const auto& left, const auto& right) {
            return left.second.size() < right.second.size();
        });
    if (found == m_lines.end()) {
        return std::nullopt;
    }
    return remove(found->second.back().request.id);
}

std::vector<waiting_call> fair_queue::remove_expired(steady_time now) {
    std::vector<waiting_call> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        expired.push_back(*remove(admission_id{m_expiries.begin()->second}));
    }
    return expired;
}

std::vector<waiting_call>
fair_queue::remove_if(const std::function<bool(const admission_request&)>& condition) {
    std::vector<admission_id> matching;
    for (const auto& [turn, own] : m_lines) {
        for (const waiting_call& call : own) {
            if (condition(call.request)) {
                matching.push_back(call.request.id);
            }
        }
    }
    std::vector<waiting_call> removed;
    removed.reserve(matching.size());
    for (const admission_id id : matching) {
        removed.push_back(*remove(id));
    }
    return removed;
}

std::size_t fair_queue::size_of(const std::string& caller) const {
    const auto found = m_lines.find(turn_of(caller));
    return found == m_lines.end() ? 0 : found->second.size();
}

std::size_t fair_queue::longest() const {
    std::size_t most = 0;
    for (const auto& [turn, own] : m_lines) {
        most = std::max(most, own.size());
    }
    return most;
}

std::size_t fair_queue::ahead_of(const std::string& caller) const {
    const std::string& turn = turn_of(caller);
    const std::size_t own_size = size_of(caller);
    std::size_t ahead = own_size;
    for (const auto& [other, calls] : m_lines) {
        if (other != turn) {
            ahead += std::min(calls.size(), own_size + 1);
        }
    }
    return ahead;
}

std::optional<waiting_call> fair_queue::displace_for(const admission_request& request) {
    // A caller that floods the queue loses its newest calls to callers with fewer.
    if (!m_fair || longest() <= size_of(request.caller) + 1) {
        return std::nullopt;
    }
    return remove_newest_of_longest();
}

const waiting_call& fair_queue::next() const {
    return m_lines.at(m_turns.front()).front();
}

std::optional<steady_time> fair_queue::earliest_expiry() const {
    if (m_expiries.empty()) {
        return std::nullopt;
    }
    return m_expiries.begin()->first;
}

} // namespace boragehollow::admission
