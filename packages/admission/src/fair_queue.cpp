#include "boragehollow/admission/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::admission {

namespace {

const std::string shared_key;

} // namespace

const std::string& fair_queue::rotation_key(const std::string& caller) const {
    return m_fair ? caller : shared_key;
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
    const std::string key = rotation_key(call.request.caller);
    caller_queue& queue = m_queues[key];
    if (queue.empty()) {
        m_rotation.push_back(key);
    }
    m_key_of_id[call.request.id.value] = key;
    m_expiries.emplace(call.expires, call.request.id.value);
    queue.push_back(std::move(call));
    ++m_size;
}

waiting_call fair_queue::extract(const std::string& key, const caller_queue::const_iterator& position) {
    caller_queue& queue = m_queues[key];
    const auto taken = queue.begin() + (position - queue.cbegin());
    waiting_call call = std::move(*taken);
    queue.erase(taken);
    --m_size;
    m_key_of_id.erase(call.request.id.value);
    m_expiries.erase({call.expires, call.request.id.value});
    return call;
}

waiting_call fair_queue::pop() {
    const std::string key = m_rotation.front();
    m_rotation.pop_front();
    caller_queue& queue = m_queues[key];
    waiting_call call = extract(key, queue.begin());
    if (queue.empty()) {
        m_queues.erase(key);
    } else {
        m_rotation.push_back(key);
    }
    return call;
}

std::optional<waiting_call> fair_queue::remove(admission_id id) {
    const auto known = m_key_of_id.find(id.value);
    if (known == m_key_of_id.end()) {
        return std::nullopt;
    }
    const std::string key = known->second;
    caller_queue& queue = m_queues[key];
    const auto position = std::find_if(queue.begin(), queue.end(),
                                       [id](const waiting_call& call) { return call.request.id == id; });
    waiting_call call = extract(key, position);
    if (queue.empty()) {
        m_queues.erase(key);
        m_rotation.erase(std::find(m_rotation.begin(), m_rotation.end(), key));
    }
    return call;
}

std::optional<waiting_call> fair_queue::remove_newest_of_longest() {
    const auto found =
        std::max_element(m_queues.begin(), m_queues.end(), [](const auto& left, const auto& right) {
            return left.second.size() < right.second.size();
        });
    if (found == m_queues.end()) {
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
    for (const auto& [key, queue] : m_queues) {
        for (const waiting_call& call : queue) {
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

std::size_t fair_queue::queue_size(const std::string& caller) const {
    const auto found = m_queues.find(rotation_key(caller));
    return found == m_queues.end() ? 0 : found->second.size();
}

std::size_t fair_queue::max_queue_size() const {
    std::size_t max_size = 0;
    for (const auto& [key, queue] : m_queues) {
        max_size = std::max(max_size, queue.size());
    }
    return max_size;
}

std::size_t fair_queue::calls_ahead_of(const std::string& caller) const {
    const std::string& key = rotation_key(caller);
    const std::size_t own_size = queue_size(caller);
    std::size_t ahead = own_size;
    for (const auto& [other, calls] : m_queues) {
        if (other != key) {
            ahead += std::min(calls.size(), own_size + 1);
        }
    }
    return ahead;
}

std::optional<waiting_call> fair_queue::evict_for(const admission_request& request) {
    // A caller that floods the queue loses its newest calls to callers with fewer queued calls.
    if (!m_fair || max_queue_size() <= queue_size(request.caller) + 1) {
        return std::nullopt;
    }
    return remove_newest_of_longest();
}

const waiting_call& fair_queue::next() const {
    return m_queues.at(m_rotation.front()).front();
}

std::optional<steady_time> fair_queue::earliest_expiry() const {
    if (m_expiries.empty()) {
        return std::nullopt;
    }
    return m_expiries.begin()->first;
}

} // namespace boragehollow::admission
