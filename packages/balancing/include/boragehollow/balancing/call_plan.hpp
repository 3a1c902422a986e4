#pragma once

#include "boragehollow/balancing/attempt.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::balancing {

/// A complete response of the target. `not_executed` is the target's own word that it did not run the call.
struct target_answered {
    unsigned status = 0;
    bool not_executed = false;
};

/// The target's daemon did not let the call through to the target.
struct daemon_refused {
    milliseconds retry_after{0};
};

/// The connection failed before the request was written to it.
struct never_sent {};

/// The request was sent and no complete response came back.
struct outcome_lost {};

using attempt_end = std::variant<target_answered, daemon_refused, never_sent, outcome_lost>;

/// Try another target.
struct attempt_again {
    attempt_kind kind = attempt_kind::retry;
};

/// Give the caller the response of the last attempt.
struct deliver_answer {};

/// Tell the caller that the call has not run, and when to come back.
struct refuse_call {
    milliseconds retry_after{0};
};

/// Tell the caller that the outcome is unknown.
struct fail_call {};

using plan_step = std::variant<attempt_again, deliver_answer, refuse_call, fail_call>;

struct call_facts {
    bool idempotent = false;
    std::uint32_t target_attempts = 1; ///< Targets that may receive the call.
    steady_time deadline;
};

/// Decides after each attempt of one call what follows. A call that is not idempotent goes on only while it
/// is certain that no target has run it.
class call_plan {
public:
    explicit call_plan(const call_facts& facts) : m_facts(facts) {}

    plan_step after(const attempt_end& end, steady_time now);

    /// The balancer had no further target to offer.
    plan_step without_target(milliseconds retry_after) const;

    /// Every attempt so far ended without a run.
    bool certainly_not_run() const { return !m_may_have_run; }
    std::uint32_t sent_to_targets() const { return m_sent; }

private:
    plan_step give_up() const;
    plan_step try_again(attempt_kind kind, steady_time now) const;

    call_facts m_facts;
    std::uint32_t m_sent = 0;
    std::uint32_t m_refusals = 0;
    bool m_may_have_run = false;
    milliseconds m_retry_after{0};
};

} // namespace boragehollow::balancing
