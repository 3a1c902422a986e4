#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/config/resource.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace boragehollow::admission {

using common::steady_time;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Number that the daemon gives to each submission. Two submissions of the same call id have different
/// tickets, so that the refusal of a duplicate never reaches the first one.
struct admission_id {
    std::uint64_t value = 0;

    auto operator<=>(const admission_id&) const = default;
};

/// Asks for a slot of the local target.
struct admission_request {
    admission_id id;
    std::string call_id;
    std::string service;
    std::string caller; ///< Fairness is per caller.
    config::work_class work = config::work_class::short_work;
    bool idempotent = false;
    std::optional<std::string> idempotency_key;
    steady_time deadline;
    std::uint32_t priority = 0;                 ///< 0 is the most urgent. Used where the policy ranks calls.
    std::optional<steady_time> soft_deadline{}; ///< Until then an answer is worth most.
    bool accepts_late = true;                   ///< Waits although the answer will come after `aim`.
};

enum class target_state { starting, ready, draining };

/// The target on this daemon's host, from its announcement.
struct local_target {
    std::string service;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;
};

/// How the work of a granted call ended.
enum class call_result {
    answered,
    shed,        ///< The target answered that it is overloaded.
    failed,      ///< No complete response.
    cancelled,   ///< The caller left while the work was running.
    not_started, ///< Nothing was sent to the target; the same call id may be submitted again.
};

enum class refusal_reason {
    no_target,       ///< No target has announced itself.
    wrong_service,   ///< The local target belongs to another service.
    target_starting, ///< The target is not ready yet.
    draining,        ///< The target or the daemon is leaving.
    deadline_passed,
    expected_wait,  ///< The queue would outlast the deadline.
    queue_full,     ///< The queue is full, or its room went to a caller with fewer queued calls.
    queue_timeout,  ///< Waited for the policy's maximum.
    duplicate_call, ///< The call id was begun before, or waits in the queue.
    duplicate_key,  ///< The idempotency key was begun before, or waits in the queue.
    call_table_full,
    key_table_full,
};

/// True when an earlier submission of the call may have run. All other refusals mean "not run".
bool outcome_unknown(refusal_reason reason);

std::string_view to_string(refusal_reason reason);

struct granted {
    admission_id id;
    std::string call_id;
};

struct refused {
    admission_id id;
    std::string call_id;
    refusal_reason reason = refusal_reason::no_target;
    milliseconds retry_after{0}; ///< 0: no advice.
};

using effect = std::variant<granted, refused>;

} // namespace boragehollow::admission
