#include "boragehollow/admission/call_queue.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::admission {

void call_queue::set_order(const config::queue_order& order) {
    const bool by_priority = std::holds_alternative<config::priority_queueing>(order);
    if (by_priority != std::holds_alternative<priority_call_queue>(m_queue)) {
        std::vector<waiting_call> calls = remove_if([](const admission_request&) { return true; });
        std::ranges::stable_sort(calls, {}, &waiting_call::enqueued);
        if (by_priority) {
            m_queue.emplace<priority_call_queue>();
        } else {
            m_queue.emplace<fair_queue>();
        }
        for (waiting_call& call : calls) {
            push(std::move(call));
        }
    }
    if (auto* queue = std::get_if<fair_queue>(&m_queue)) {
        queue->set_fair(std::holds_alternative<config::fair_queueing>(order));
    }
}

void call_queue::push(waiting_call call) {
    std::visit([&call](auto& queue) { queue.push(std::move(call)); }, m_queue);
}

waiting_call call_queue::pop(steady_time now, microseconds service_time) {
    return std::visit(
        common::overloaded{[](fair_queue& queue) { return queue.pop(); },
                           [&](priority_call_queue& queue) { return queue.pop(now, service_time); }},
        m_queue);
}

std::optional<waiting_call> call_queue::remove(admission_id id) {
    return std::visit([id](auto& queue) { return queue.remove(id); }, m_queue);
}

std::optional<waiting_call> call_queue::evict_for(const admission_request& request) {
    return std::visit([&request](auto& queue) { return queue.evict_for(request); }, m_queue);
}

std::vector<waiting_call> call_queue::remove_expired(steady_time now) {
    return std::visit([now](auto& queue) { return queue.remove_expired(now); }, m_queue);
}

std::vector<waiting_call>
call_queue::remove_if(const std::function<bool(const admission_request&)>& condition) {
    return std::visit([&condition](auto& queue) { return queue.remove_if(condition); }, m_queue);
}

std::size_t call_queue::size() const {
    return std::visit([](const auto& queue) { return queue.size(); }, m_queue);
}

std::size_t call_queue::calls_ahead_of(const admission_request& request, steady_time now,
                                       microseconds service_time) const {
    return std::visit(
        common::overloaded{[&](const fair_queue& queue) { return queue.calls_ahead_of(request.caller); },
                           [&](const priority_call_queue& queue) {
                               return queue.calls_ahead_of(request, now, service_time);
                           }},
        m_queue);
}

bool call_queue::precedes(const call_queue& other) const {
    const auto next = [](const call_queue& from) -> const waiting_call& {
        return std::visit([](const auto& queue) -> const waiting_call& { return queue.next(); },
                          from.m_queue);
    };
    const waiting_call& own = next(*this);
    const waiting_call& theirs = next(other);
    const bool by_priority = std::holds_alternative<priority_call_queue>(m_queue);
    if (by_priority && rank_of(own.request) != rank_of(theirs.request)) {
        return rank_of(own.request) < rank_of(theirs.request);
    }
    return own.enqueued <= theirs.enqueued;
}

std::optional<steady_time> call_queue::earliest_expiry() const {
    return std::visit([](const auto& queue) { return queue.earliest_expiry(); }, m_queue);
}

} // namespace boragehollow::admission
