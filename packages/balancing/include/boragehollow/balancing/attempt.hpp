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

/// A redirect follows a refusal by the target's daemon: no target has received the call yet, so that it takes
/// nothing from the retry budget and waits for no backoff.
enum class attempt_kind { first, retry, hedge, redirect };

/// Number of one attempt, unique within a balancer.
struct attempt_id {
    std::uint64_t value = 0;

    auto operator<=>(const attempt_id&) const = default;
};

/// Asks for the target of one attempt of a call.
struct attempt_request {
    std::string call_id;
    std::string service;
    bool idempotent = false;
    config::work_class work = config::work_class::short_work;
    std::optional<std::string> idempotency_key;
    steady_time deadline;
    /// Hosts of this call's earlier attempts, one entry each, in order.
    std::vector<std::string> tried_hosts;
    attempt_kind kind = attempt_kind::first;
    /// Every earlier attempt ended with a definite "not run". A call that is not idempotent is retried only
    /// then.
    bool prior_attempts_not_run = false;
};

/// Where the attempt goes. The sender waits for `backoff` first. It may ask for a hedge when `hedge_delay`
/// has passed without the start of a response.
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
    deadline_passed,      ///< Now, or before the end of the backoff.
    attempts_exhausted,   ///< The policy's maximum of attempts.
    retry_budget,         ///< The service has used its retries up.
    hedge_budget,         ///< The service has used its hedges up, or hedging is off.
    not_repeatable,       ///< An earlier attempt of a call that is not idempotent may have run.
    placement_unsettled,  ///< All targets are too young to hold an idempotency key.
    placement_lost,       ///< The target that holds the idempotency key is lost: the call may have run.
    placement_moving,     ///< The key moves to a target that settled lately: the call may have run elsewhere.
    too_many_outstanding, ///< The balancer's own table of attempts is full.
};

struct selection_error {
    selection_error_reason reason = selection_error_reason::no_target;
};

/// True when an earlier request with the same key may have run, so that the caller must be told "unknown".
bool outcome_unknown(selection_error_reason reason);

std::string_view to_string(selection_error_reason reason);

enum class attempt_outcome {
    answered,  ///< A complete response of the target.
    refused,   ///< The target's daemon refused the call as not run.
    failed,    ///< No connection, a broken transfer, or no response in time.
    cancelled, ///< The caller left, or another attempt of the call was answered first.
};

/// What the target's daemon adds to its answers about its own load.
struct piggybacked_load {
    std::uint32_t queued = 0;
    std::uint32_t in_use = 0;
    std::uint32_t slots = 0; ///< 0 when not stated.
};

/// Reports the end of an attempt. Every attempt that was chosen must be reported once.
struct attempt_result {
    attempt_id id;
    attempt_outcome outcome = attempt_outcome::answered;
    microseconds latency{0};
    std::optional<piggybacked_load> load;
};

} // namespace boragehollow::balancing
