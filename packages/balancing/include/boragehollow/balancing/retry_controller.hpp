#pragma once

#include "boragehollow/balancing/attempt.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::balancing {

/// A complete response of the target. `not_executed` is the target's own word that it did not run the call.
struct target_responded {
    unsigned status = 0;
    bool not_executed = false;
};

/// The target's daemon did not let the call through to the target.
struct daemon_refused {
    milliseconds retry_after{0};
};

/// The connection failed before the request was written to it.
struct request_not_sent {};

/// The request was sent and no complete response came back.
struct response_lost {};

using attempt_end = std::variant<target_responded, daemon_refused, request_not_sent, response_lost>;

/// Try another target.
struct start_attempt {
    attempt_kind kind = attempt_kind::retry;
};

/// Give the caller the response of the last attempt.
struct return_response {};

/// Tell the caller that the call has not run, and when to come back.
struct refuse_call {
    milliseconds retry_after{0};
};

/// Tell the caller that the outcome is unknown.
struct fail_call {};

using retry_decision = std::variant<start_attempt, return_response, refuse_call, fail_call>;

struct retry_limits {
    bool idempotent = false;
    std::uint32_t target_attempts = 1; ///< Targets that may receive the call.
    steady_time deadline;
};

/// Decides after each attempt of one call what follows. A call that is not idempotent goes on only while it
/// is certain that no target has run it.
class retry_controller {
public:
    explicit retry_controller(const retry_limits& facts) : m_facts(facts) {}

    retry_decision decide(const attempt_end& end, steady_time now);

    /// The balancer had no further target to offer.
    retry_decision decide_without_target(milliseconds retry_after) const;

    /// Every attempt so far ended without a run.
    bool definitely_not_run() const { return !m_may_have_run; }
    std::uint32_t sent_to_targets() const { return m_sent; }

private:
    retry_decision give_up() const;
    retry_decision try_again(attempt_kind kind, steady_time now) const;

    retry_limits m_facts;
    std::uint32_t m_sent = 0;
    std::uint32_t m_refusals = 0;
    bool m_may_have_run = false;
    milliseconds m_retry_after{0};
};

} // namespace boragehollow::balancing
