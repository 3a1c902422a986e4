#include "boragehollow/balancing/retry_controller.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

/// Each refusal costs a round trip; after a few of them the whole service is likely saturated.
constexpr std::uint32_t max_refusals = 4;

/// Used when no daemon stated a delay: about one service time of a short call.
constexpr milliseconds default_retry_after{250};

/// An attempt with less time left before the deadline cannot finish.
constexpr milliseconds min_time_left{20};

constexpr unsigned first_server_error = 500;

} // namespace

retry_decision retry_controller::decide(const attempt_end& end, steady_time now) {
    return std::visit(
        common::overloaded{[&](const target_responded& response) -> retry_decision {
                               ++m_sent;
                               if (response.not_executed) {
                                   return try_again(attempt_kind::retry, now);
                               }
                               if (response.status < first_server_error || !m_limits.idempotent) {
                                   return return_response{};
                               }
                               m_may_have_run = true;
                               m_has_response = true;
                               return response.service_saturated ? give_up()
                                                                 : try_again(attempt_kind::retry, now);
                           },
                           [&](const daemon_refused& refusal) -> retry_decision {
                               ++m_refusals;
                               m_retry_after = std::max(m_retry_after, refusal.retry_after);
                               const bool hopeless = refusal.retries_exhausted || refusal.service_saturated ||
                                                     m_refusals >= max_refusals;
                               return hopeless ? give_up() : try_again(attempt_kind::redirect, now);
                           },
                           [&](const request_not_sent&) -> retry_decision {
                               ++m_refusals;
                               return m_refusals < max_refusals ? try_again(attempt_kind::redirect, now)
                                                                : give_up();
                           },
                           [&](const response_lost&) -> retry_decision {
                               ++m_sent;
                               m_may_have_run = true;
                               return m_limits.idempotent ? try_again(attempt_kind::retry, now)
                                                          : retry_decision(fail_call{});
                           }},
        end);
}

retry_decision retry_controller::decide_without_target(milliseconds retry_after) const {
    if (m_has_response) {
        return return_response{};
    }
    if (m_may_have_run) {
        return fail_call{};
    }
    return refuse_call{std::max({retry_after, m_retry_after, default_retry_after})};
}

retry_decision retry_controller::try_again(attempt_kind kind, steady_time now) const {
    if (m_sent >= m_limits.max_target_attempts || now + min_time_left >= m_limits.deadline) {
        return give_up();
    }
    return start_attempt{kind};
}

retry_decision retry_controller::give_up() const {
    return decide_without_target(milliseconds(0));
}

} // namespace boragehollow::balancing
