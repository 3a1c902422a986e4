#pragma once

#include "boragehollow/balancing/attempt.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::balancing {

/// The target sent a complete response. `not_executed` is set when the target stated that it did not run the
/// call.
struct target_responded {
    unsigned status = 0;
    bool not_executed = false;
    /// The service takes no further call for now, so a retry would only add load.
    bool service_saturated = false;
};

/// The target's daemon refused the call before it reached the target.
struct daemon_refused {
    milliseconds retry_after{0};
    /// The service takes no further retry for now, so another target would refuse the call as well.
    bool retries_exhausted = false;
    /// Most targets of the service refuse calls just now, so another one would, too.
    bool service_saturated = false;
};

/// The connection failed before the request was sent.
struct request_not_sent {};

/// The request was sent, but no complete response was received.
struct response_lost {};

using attempt_end = std::variant<target_responded, daemon_refused, request_not_sent, response_lost>;

/// Start another attempt.
struct start_attempt {
    attempt_kind kind = attempt_kind::retry;
};

/// Return the last response of a target to the caller.
struct return_response {};

/// Refuse the call as not run, with a retry delay.
struct refuse_call {
    milliseconds retry_after{0};
};

/// Fail the call with an unknown outcome.
struct fail_call {};

using retry_decision = std::variant<start_attempt, return_response, refuse_call, fail_call>;

/// Bounds on the attempts of one call.
struct retry_limits {
    bool idempotent = false;
    std::uint32_t max_target_attempts = 1; ///< Number of targets that may receive the call.
    steady_time deadline;
};

/// Decides after each attempt of a call whether to retry. A call that is not idempotent is retried only while
/// it is certain that no target has run it.
class retry_controller {
public:
    explicit retry_controller(const retry_limits& limits) : m_limits(limits) {}

    retry_decision decide(const attempt_end& end, steady_time now);

    /// Decision when the balancer has no further target.
    retry_decision decide_without_target(milliseconds retry_after) const;

    /// True when no attempt so far can have run the call.
    bool definitely_not_run() const { return !m_may_have_run; }
    /// True when a target has run the call and responded. This response is better for the caller than an
    /// error of this daemon.
    bool has_response() const { return m_has_response; }
    std::uint32_t sent_to_targets() const { return m_sent; }

private:
    retry_decision give_up() const;
    retry_decision try_again(attempt_kind kind, steady_time now) const;

    retry_limits m_limits;
    std::uint32_t m_sent = 0;
    std::uint32_t m_refusals = 0;
    bool m_may_have_run = false;
    bool m_has_response = false;
    milliseconds m_retry_after{0};
};

} // namespace boragehollow::balancing
