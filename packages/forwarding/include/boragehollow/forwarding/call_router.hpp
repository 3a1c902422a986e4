#pragma once

#include "boragehollow/admission/shedding_outlook.hpp"
#include "boragehollow/balancing/balancer.hpp"
#include "boragehollow/balancing/caller_wait_estimator.hpp"
#include "boragehollow/balancing/retry_controller.hpp"
#include "boragehollow/balancing/saturation_estimate.hpp"
#include "boragehollow/forwarding/account_gate.hpp"
#include "boragehollow/forwarding/account_recorder.hpp"
#include "boragehollow/forwarding/call_attempt.hpp"
#include "boragehollow/forwarding/load_metrics.hpp"
#include "boragehollow/forwarding/local_target.hpp"
#include "boragehollow/forwarding/quota_gate.hpp"
#include "boragehollow/forwarding/router_metrics.hpp"
#include "boragehollow/forwarding/transfer_reservation.hpp"
#include "boragehollow/routing/route_table.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boragehollow::forwarding {

/// Called when a daemon states a configuration version newer than this daemon's.
using newer_config_sink = std::function<void(const common::endpoint& peer, common::revision version)>;

/// Called when a target's daemon refuses a call because its version is not in use: its plan of the roll-out
/// may be newer than this daemon's.
using newer_plan_sink = std::function<void(const common::endpoint& peer)>;

struct router_settings {
    std::string host;    ///< Host of this daemon.
    std::string service; ///< Service on this host, sent to the targets as the origin of its calls.
    header_names names;
    balancing::balancer_settings balancing;
    /// Calls of this host's target precede the calls from outside at their targets.
    bool inner_calls_first = false;
    std::shared_ptr<memory_ledger> memory;
    /// Ends the offers of a refused call when most targets of its service refuse.
    bool stops_when_saturated = false;
};

/// Routes the calls of the callers on this host: matches the route, selects targets, retries, and builds the
/// final response.
class call_router {
public:
    call_router(asio::io_context& context, router_settings settings, const account_gate& accounts,
                account_recorder& account_calls, quota_gate& quota, local_target& own_target,
                common::random_source random, const telemetry::event_log& events,
                telemetry::metric_registry& metrics, load_metrics& load, newer_config_sink newer_config,
                newer_plan_sink newer_plan);

    void set_routes(std::shared_ptr<const routing::route_table> routes, common::steady_time now);
    balancing::balancer& targets() { return m_balancer; }

    /// The process ends at this time: refuses calls that may not be answered by then.
    void refuse_calls_beyond(common::steady_time end) { m_process_end = end; }

    asio::awaitable<response_message> handle(request_message request, request_context context);

    /// False for a call that must not start while earlier calls of its connection are in progress.
    bool may_pipeline(const request_message& request) const;

    void close_expired(common::steady_time now) { m_pool.close_expired(now); }

private:
    struct call;

    asio::awaitable<call_attempt> run_attempt(const call& current, const balancing::attempt_target& target,
                                              cancellation_ptr cancelled);
    asio::awaitable<call_attempt>
    forward_to_peer(const call& current, const balancing::attempt_target& target, request_message request,
                    std::chrono::milliseconds body_send_duration, cancellation_ptr cancelled);
    call_attempt evaluate_response(const call& current, const balancing::attempt_target& target,
                                   response_message response);
    std::optional<response_message> prepare_call(const request_message& request, call& current);
    void record_saturation(const call& current, const balancing::attempt_target& target,
                           call_attempt& result);
    void record_attempt_result(const balancing::attempt_target& target, const call_attempt& result,
                               common::steady_time started);
    response_message finish_call(const call& current, const balancing::retry_decision& decision,
                                 std::optional<response_message> last_response);
    void record_account(const call& current, accounts::call_end end);
    asio::awaitable<std::optional<response_message>> check_limit(const call& current);
    response_message refuse_key(const call& current, key_error error);
    response_message make_daemon_response(const call& current, http::status status,
                                          std::chrono::milliseconds retry_after = {});

    asio::io_context& m_context;
    router_settings m_settings;
    const account_gate& m_accounts;
    account_recorder& m_account_calls;
    quota_gate& m_quota;
    local_target& m_own_target;
    common::random_source m_random;
    call_log m_log;
    newer_config_sink m_newer_config;
    newer_plan_sink m_newer_plan;
    std::shared_ptr<const routing::route_table> m_routes;
    std::optional<common::steady_time> m_process_end; ///< Set when the daemon stops.
    balancing::caller_wait_estimator m_wait_estimator;
    std::map<std::string, admission::shedding_outlook> m_shedding; ///< By service.
    balancing::route_saturation m_saturation;
    balancing::balancer m_balancer;
    connection_pool m_pool;
    load_metrics& m_load;
    router_metrics m_metrics;
};

} // namespace boragehollow::forwarding
