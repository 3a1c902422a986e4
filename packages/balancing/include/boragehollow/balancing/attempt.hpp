#pragma once

#include "boragehollow/balancing/target_view.hpp"
#include "boragehollow/config/resource.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::balancing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A redirect follows a refusal by the target's daemon. Since no target has received the call, it is exempt
/// from the retry budget and from backoff.
enum class attempt_kind { first, retry, hedge, redirect };

/// Identifies an attempt within a balancer.
struct attempt_id {
    std::uint64_t value = 0;

    auto operator<=>(const attempt_id&) const = default;
};

/// Requests a target for one attempt of a call.
struct attempt_request {
    std::string call_id;
    std::string service;
    bool idempotent = false;
    config::work_class work = config::work_class::short_work;
    std::optional<std::string> idempotency_key;
    steady_time deadline;
    /// Hosts of this call's previous attempts, one entry per attempt, in order.
    std::vector<std::string> tried_hosts;
    attempt_kind kind = attempt_kind::first;
    /// Every previous attempt ended as "not run". Required for a retry of a call that is not idempotent.
    bool prior_attempts_not_run = false;
};

/// Target of an attempt. The sender waits for `backoff` first. It may request a hedge if no response has
/// started after `hedge_delay`.
struct attempt_target {
    attempt_id id;
    std::string host;
    common::endpoint peer;
    microseconds backoff{0};
    std::optional<microseconds> hedge_delay;
};

enum class selection_error_reason {
    unknown_service,
    no_target,            ///< No ready target matches the rules.
    deadline_passed,      ///< The deadline passed, or will pass during the backoff.
    attempts_exhausted,   ///< The policy's maximum number of attempts was made.
    retry_budget,         ///< The service's retry budget is exhausted.
    hedge_budget,         ///< The service's hedging budget is exhausted, or hedging is disabled.
    not_repeatable,       ///< The call is not idempotent and a previous attempt may have run.
    placement_unsettled,  ///< No target has been known for a full key window.
    placement_lost,       ///< The target that owns the idempotency key was lost; the call may have run.
    placement_moving,     ///< The key moved to a recently settled target; the call may have run elsewhere.
    too_many_outstanding, ///< The balancer's table of attempts is full.
};

struct selection_error {
    selection_error_reason reason = selection_error_reason::no_target;
};

/// True when an earlier attempt or a request with the same key may have run: the outcome is "unknown".
bool outcome_unknown(selection_error_reason reason);

std::string_view to_string(selection_error_reason reason);

enum class attempt_outcome {
    answered,  ///< The target sent a complete response.
    refused,   ///< The target's daemon refused the call; not run.
    failed,    ///< No connection, an interrupted transfer, or a timeout.
    cancelled, ///< The caller disconnected, or another attempt got a response first.
    rejected,  ///< Not run for a reason of the call's own; says nothing about the target.
};

/// Load of the target, added by its daemon to each reply.
struct piggybacked_load {
    std::uint32_t queued = 0;
    std::uint32_t in_use = 0;
    std::uint32_t slots = 0;      ///< 0 when not stated.
    microseconds service_time{0}; ///< Mean time for which a short call holds a slot; 0 when not known.
};

/// Result of an attempt. Report exactly one for each chosen attempt.
struct attempt_result {
    attempt_id id;
    attempt_outcome outcome = attempt_outcome::answered;
    microseconds latency{0};
    std::optional<piggybacked_load> load;
};

} // namespace boragehollow::balancing
