#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/config/resource.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace boragehollow::admission {

using common::steady_time;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Identifies one submission. Two submissions of the same call id have different admission ids, so that the
/// refusal of a duplicate is never delivered to the original.
struct admission_id {
    std::uint64_t value = 0;

    auto operator<=>(const admission_id&) const = default;
};

/// Requests a slot of the local target.
struct admission_request {
    admission_id id;
    std::string call_id;
    std::string service;
    std::string caller; ///< Client account; unit of fair queueing.
    config::work_class work = config::work_class::short_work;
    bool idempotent = false;
    std::optional<std::string> idempotency_key;
    steady_time deadline;
    std::uint32_t priority = 0;                 ///< 0 is the highest. Used by priority queueing only.
    std::optional<steady_time> soft_deadline{}; ///< End of the route's target latency.
    bool accepts_late = true;                   ///< Queue the call even if it will miss `soft_deadline`.
    bool retry = false;                         ///< A target has received this call before.
    bool accepts_shedding = true;               ///< The call may run at a target that sheds calls.
    /// Probability that a repeated call made this call.
    double inherited_repeats = 0;
    bool inner = false; ///< Made by a running call of a target. Used by priority queueing only.
    /// Account that makes the call; empty for none. Used by priority queueing only.
    std::string account{};
    double weight = 1; ///< Share of the account under overload, relative to the mean of all accounts.
};

/// Rank in priority queueing; the lowest one is served first.
struct call_rank {
    bool outer = true; ///< Not made by a running call of a target.
    std::uint32_t priority = 0;

    auto operator<=>(const call_rank&) const = default;
};

inline call_rank rank_of(const admission_request& request) {
    return {!request.inner, request.priority};
}

enum class target_state { starting, ready, draining };

/// Target on this daemon's host, as announced.
struct local_target {
    std::string service;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;
};

/// Result of a granted call.
enum class call_result {
    answered,
    shed,        ///< The target reported overload.
    failed,      ///< No complete response.
    cancelled,   ///< The caller disconnected while the call was running.
    not_started, ///< Nothing was sent to the target; the call id may be submitted again.
};

enum class refusal_reason {
    no_target,       ///< No target is announced.
    wrong_service,   ///< The local target belongs to another service.
    target_starting, ///< The target is not ready yet.
    draining,        ///< The target or the daemon is draining.
    deadline_passed,
    expected_wait,  ///< The expected wait would exceed the deadline.
    queue_full,     ///< The queue is full, or the call was evicted from it.
    queue_timeout,  ///< Exceeded the policy's maximum wait.
    duplicate_call, ///< The call id is queued, running or within its retention time.
    duplicate_key,  ///< The idempotency key is queued, running or within its retention time.
    call_table_full,
    key_table_full,
    retry_limit,  ///< The target takes no further retry for now.
    target_sheds, ///< The target sheds calls; another one may not.
};

/// True when an earlier submission of the call may have run. All other reasons mean "not run".
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
    milliseconds retry_after{0}; ///< 0 when there is no recommendation.
};

using effect = std::variant<granted, refused>;

} // namespace boragehollow::admission
