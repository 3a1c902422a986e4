#include "boragehollow/balancing/call_plan.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

/// Daemons asked for one call. Each refusal costs a round trip; after a few the service as a whole is full.
constexpr std::uint32_t most_refusals = 4;

/// Advice where nobody named a time: about one service time of short work.
constexpr milliseconds default_retry_after{250};

/// Another attempt that starts later than this before the deadline cannot end in time.
constexpr milliseconds least_time_left{20};

constexpr unsigned first_server_error = 500;

} // namespace

plan_step call_plan::after(const attempt_end& end, steady_time now) {
    return std::visit(
        common::overloaded{
            [&](const target_answered& answer) -> plan_step {
                ++m_sent;
                if (answer.not_executed) {
                    return try_again(attempt_kind::retry, now);
                }
                if (answer.status < first_server_error || !m_facts.idempotent) {
                    return deliver_answer{};
                }
                m_may_have_run = true;
                const plan_step next = try_again(attempt_kind::retry, now);
                return std::holds_alternative<attempt_again>(next) ? next : plan_step(deliver_answer{});
            },
            [&](const daemon_refused& refusal) -> plan_step {
                ++m_refusals;
                m_retry_after = std::max(m_retry_after, refusal.retry_after);
                return m_refusals < most_refusals ? try_again(attempt_kind::redirect, now) : give_up();
            },
            [&](const never_sent&) -> plan_step {
                ++m_refusals;
                return m_refusals < most_refusals ? try_again(attempt_kind::redirect, now) : give_up();
            },
            [&](const outcome_lost&) -> plan_step {
                ++m_sent;
                m_may_have_run = true;
                return m_facts.idempotent ? try_again(attempt_kind::retry, now) : plan_step(fail_call{});
            }},
        end);
}

plan_step call_plan::without_target(milliseconds retry_after) const {
    if (m_may_have_run) {
        return fail_call{};
    }
    return refuse_call{std::max({retry_after, m_retry_after, default_retry_after})};
}

plan_step call_plan::try_again(attempt_kind kind, steady_time now) const {
    if (m_sent >= m_facts.target_attempts || now + least_time_left >= m_facts.deadline) {
        return give_up();
    }
    return attempt_again{kind};
}

plan_step call_plan::give_up() const {
    return without_target(milliseconds(0));
}

} // namespace boragehollow::balancing
