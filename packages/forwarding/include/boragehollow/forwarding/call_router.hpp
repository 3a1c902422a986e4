#pragma once

#include "boragehollow/balancing/balancer.hpp"
#include "boragehollow/balancing/caller_wait_estimator.hpp"
#include "boragehollow/balancing/retry_controller.hpp"
#include "boragehollow/forwarding/local_target.hpp"
#include "boragehollow/routing/route_table.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boragehollow::forwarding {

/// A daemon was seen to have a newer configuration.
using newer_config_sink = std::function<void(const common::endpoint& peer, common::revision version)>;

struct router_settings {
    std::string host;    ///< This daemon's.
    std::string service; ///< Service on this host, which the targets are told as the origin of its calls.
    header_names names;
    balancing::balancer_settings balancing;
};

/// Takes the calls of the callers on this host to a target: route, choice of targets, repetition, final
/// answer.
class call_router {
public:
    /// `newer_config` is told when a daemon's answer shows a newer configuration than this daemon's.
    call_router(asio::io_context& context, router_settings settings, local_target& own_target,
                common::random_source random, const telemetry::event_log& events,
                telemetry::metric_registry& metrics, newer_config_sink newer_config);

    void set_routes(std::shared_ptr<const routing::route_table> routes, common::steady_time now);
    balancing::balancer& targets() { return m_balancer; }

    asio::awaitable<response_message> handle(request_message request, cancellation_ptr cancelled);

    /// False for a call that must not begin while earlier calls of its connection are open.
    bool may_overtake(const request_message& request) const;

    void expire(common::steady_time now) { m_pool.expire(now); }

private:
    struct call;
    struct attempt;
    struct reservation;

    asio::awaitable<attempt> try_target(const call& current, const balancing::attempt_target& choice,
                                        cancellation_ptr cancelled);
    asio::awaitable<attempt> ask_daemon(const call& current, const balancing::attempt_target& choice,
                                        request_message request, std::chrono::milliseconds body_spread,
                                        cancellation_ptr cancelled);
    asio::awaitable<reservation> reserve(const call& current, const balancing::attempt_target& choice,
                                         hop_call hop, cancellation_ptr cancelled);
    attempt read_report(const call& current, const balancing::attempt_target& choice,
                        response_message response);
    std::optional<response_message> begin(const request_message& request, call& current);
    void settle(const balancing::attempt_target& choice, const attempt& ended, common::steady_time begun);
    response_message conclude(const call& current, const balancing::retry_decision& step,
                              std::optional<response_message> answer);
    response_message own_response(const call& current, http::status status,
                                  std::chrono::milliseconds retry_after = {});

    asio::io_context& m_context;
    router_settings m_settings;
    local_target& m_own_target;
    common::random_source m_random;
    call_log m_log;
    newer_config_sink m_newer_config;
    std::shared_ptr<const routing::route_table> m_routes;
    balancing::caller_wait_estimator m_wait_estimator;
    balancing::balancer m_balancer;
    connection_pool m_pool;
    telemetry::counter& m_answered;
    telemetry::counter& m_refused;
    telemetry::counter& m_failed;
    telemetry::counter& m_attempts;
    telemetry::latency_distribution& m_latency;
};

} // namespace boragehollow::forwarding
