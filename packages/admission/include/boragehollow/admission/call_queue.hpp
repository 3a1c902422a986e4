#pragma once

#include "boragehollow/admission/fair_queue.hpp"
#include "boragehollow/admission/priority_call_queue.hpp"
#include "boragehollow/config/resource.hpp"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace boragehollow::admission {

/// Queue of one work class. The service policy selects its queueing discipline.
class call_queue {
public:
    /// Changes the discipline; queued calls are moved to the new queue.
    void set_order(const config::queue_order& order);

    void push(waiting_call call);
    waiting_call pop(steady_time now, microseconds service_time);
    std::optional<waiting_call> remove(admission_id id);
    std::optional<waiting_call> evict_for(const admission_request& request);
    std::vector<waiting_call> remove_expired(steady_time now);
    std::vector<waiting_call> remove_if(const std::function<bool(const admission_request&)>& condition);

    bool empty() const { return size() == 0; }
    std::size_t size() const;
    std::size_t calls_ahead_of(const admission_request& request, steady_time now,
                               microseconds service_time) const;

    /// True when the next call of this queue runs before that of `other`. Neither queue may be empty.
    bool precedes(const call_queue& other) const;
    std::optional<steady_time> earliest_expiry() const;

private:
    std::variant<fair_queue, priority_call_queue> m_queue;
};

} // namespace boragehollow::admission
