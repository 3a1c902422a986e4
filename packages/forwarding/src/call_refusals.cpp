#include "call_router_state.hpp"

#include "boragehollow/forwarding/daemon_response.hpp"

#include <utility>

// Refusals of calls before their first attempt, by the key or the limit of their account.
namespace boragehollow::forwarding {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

/// Fraction of Retry-After that is added at random, so that callers do not retry at the same time.
constexpr double retry_after_jitter = 0.5;

} // namespace

response_message call_router::make_daemon_response(const call& current, http::status status,
                                                   milliseconds retry_after) {
    const milliseconds with_jitter(static_cast<milliseconds::rep>(
        static_cast<double>(retry_after.count()) * (1.0 + retry_after_jitter * m_random.fraction())));
    return forwarding::make_daemon_response(m_settings.names.request_id, current.id, status, with_jitter);
}

void call_router::record_account(const call& current, accounts::call_end end) {
    if (current.account) {
        m_account_calls.record(current.account.get()->name, end, common::steady_clock::now());
    }
}

/// Refuses a call without a valid key. Says nothing about the key but why it is refused.
response_message call_router::refuse_key(const call& current, key_error error) {
    m_metrics.unauthorized.add();
    record_account(current, accounts::call_end::key_revoked);
    m_log.write(event_number::call_unauthorized,
                {{"request", current.id},
                 {"route", current.matched.route->name},
                 {"reason", to_string(error)},
                 {"account", current.account ? current.account.get()->name : std::string()},
                 {"config_version", m_routes->snapshot()->version.value}},
                common::steady_clock::now());
    return make_daemon_response(current, http::status::unauthorized);
}

/// Takes a token of the account's limit. A returned response ends the call, which has not run.
asio::awaitable<std::optional<response_message>> call_router::check_limit(const call& current) {
    if (!current.account) {
        co_return std::nullopt;
    }
    const auto rejection = co_await m_quota.admit(current.account.get()->name, current.deadline);
    if (!rejection) {
        co_return std::nullopt;
    }
    const bool over_limit = rejection->reason == quota::quota_refusal::over_limit;
    record_account(current, over_limit ? accounts::call_end::over_limit : accounts::call_end::not_run);
    m_metrics.refused.add();
    m_log.write(event_number::call_over_limit,
                {{"request", current.id},
                 {"route", current.matched.route->name},
                 {"reason", to_string(rejection->reason)},
                 {"account", current.account.get()->name}},
                common::steady_clock::now());
    co_return make_daemon_response(
        current, over_limit ? http::status::too_many_requests : http::status::service_unavailable,
        rejection->retry_after);
}

} // namespace boragehollow::forwarding
