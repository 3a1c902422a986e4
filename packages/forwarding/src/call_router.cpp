#include "call_router_state.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/routing/backend_split.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using balancing::attempt_outcome;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using telemetry::event_number;

/// Time beyond the deadline for the target's daemon to forward a response that arrives at the deadline.
constexpr milliseconds peer_response_grace{220};

/// A larger body needs a reservation of the target's link. A reservation costs a round trip of 1 or 2 ms; a
/// body of this size takes 20 ms on a link of 7 Mbit/s.
constexpr std::size_t max_unreserved_body_bytes = 16 * 1024;

/// Retry-After of a daemon that has no configuration yet: a daemon starts in about this time.
constexpr milliseconds no_configuration_retry_after{400};
/// Retry-After of a daemon that stops: its host's callers use other hosts by then.
constexpr milliseconds stopping_retry_after{400};
/// Retry-After when no target is known: the announcement of a new target arrives within about a second.
constexpr milliseconds no_target_retry_after{400};

const std::string_view target_sheds_reason = admission::to_string(admission::refusal_reason::target_sheds);
constexpr std::string_view version_not_in_use_reason = "version_not_in_use";
const std::string_view retry_limit_reason = admission::to_string(admission::refusal_reason::retry_limit);

microseconds microseconds_between(common::steady_time from, common::steady_time to) {
    return std::chrono::duration_cast<microseconds>(to - from);
}

} // namespace

call_router::call_router(asio::io_context& context, router_settings settings, const account_gate& accounts,
                         account_recorder& account_calls, quota_gate& quota, local_target& own_target,
                         common::random_source random, const telemetry::event_log& events,
                         telemetry::metric_registry& metrics, load_metrics& load,
                         newer_config_sink newer_config, newer_plan_sink newer_plan)
    : m_context(context), m_settings(std::move(settings)), m_accounts(accounts),
      m_account_calls(account_calls), m_quota(quota), m_own_target(own_target), m_random(random),
      m_log(events), m_newer_config(std::move(newer_config)), m_newer_plan(std::move(newer_plan)),
      m_balancer(m_settings.balancing, common::random_source::from_system()),
      m_pool(context, m_settings.memory), m_load(load), m_metrics(metrics) {}

void call_router::set_routes(std::shared_ptr<const routing::route_table> routes, common::steady_time now) {
    m_routes = std::move(routes);
    for (const std::string& name : m_balancer.services()) {
        if (m_routes->find_service(name) == nullptr) {
            m_balancer.remove_policy(name);
            m_shedding.erase(name);
        }
    }
    for (const auto& [key, stored] : m_routes->snapshot()->resources) {
        if (const auto* policy = std::get_if<config::service_policy>(&stored.value)) {
            m_balancer.update_policy(*policy, {}, now);
        }
    }
}

bool call_router::may_pipeline(const request_message& request) const {
    if (!m_routes) {
        return false;
    }
    const auto matched = m_routes->match(view_of(request[http::field::host]), view_of(request.target()),
                                         view_of(request.method_string()));
    return matched && matched->route->idempotent;
}

/// Matches the route and sets the deadlines. A returned response ends the call.
std::optional<response_message> call_router::prepare_call(const request_message& request, call& current) {
    current.received = common::steady_clock::now();
    const auto id = request[beast_view(m_settings.names.request_id)];
    current.id.assign(id.data(), id.size());
    if (!m_routes) {
        m_metrics.refused.add();
        return make_daemon_response(current, http::status::service_unavailable, no_configuration_retry_after);
    }
    auto matched = m_routes->match(view_of(request[http::field::host]), view_of(request.target()),
                                   view_of(request.method_string()));
    if (!matched) {
        m_log.write(event_number::call_without_route,
                    {{"request", current.id},
                     {"host", view_of(request[http::field::host])},
                     {"target", view_of(request.target())},
                     {"config_version", m_routes->snapshot()->version.value}},
                    current.received);
        return make_daemon_response(current,
                                    static_cast<http::status>(routing::http_status(matched.error())));
    }
    current.matched = std::move(*matched);
    const config::route& route = *current.matched.route;
    milliseconds timeout = route.deadline;
    if (const auto stated = read_number(request, m_settings.names.time_left)) {
        timeout = std::min(timeout, milliseconds(static_cast<milliseconds::rep>(
                                        std::min<std::uint64_t>(*stated, 86'400'000))));
    }
    current.deadline = current.received + timeout;
    if (m_process_end && current.deadline + peer_response_grace > *m_process_end) {
        m_metrics.refused.add();
        m_log.write(event_number::call_not_admitted,
                    {{"request", current.id}, {"service", route.service}, {"reason", "stopping"}},
                    current.received);
        return make_daemon_response(current, http::status::service_unavailable, stopping_retry_after);
    }
    if (route.target_latency.count() > 0) {
        const auto stated = read_number(request, m_settings.names.time_left);
        const milliseconds waited =
            stated ? m_wait_estimator.estimate_wait(route.name, milliseconds(*stated), current.received)
                   : milliseconds(0);
        current.soft_deadline = current.received + route.target_latency - waited;
    }
    current.service = routing::choose_backend(route, m_random);
    current.accepts_shedding = m_shedding[current.service].shedding_is_common();
    if (m_settings.stops_when_saturated && m_saturation.timely_saturated(route.name, current.received)) {
        current.late_responses.accept_late();
    }
    return std::nullopt;
}

asio::awaitable<response_message> call_router::handle(request_message request, request_context context) {
    call current;
    current.client = context.cancelled;
    current.inherited_repeats = context.from_own_host ? m_own_target.repeated_share() : 0;
    current.inner = m_settings.inner_calls_first && context.from_own_host;
    if (auto rejection = prepare_call(request, current)) {
        co_return std::move(*rejection);
    }
    const config::route& route = *current.matched.route;
    auto account = m_accounts.identify(request, route, context.from_own_host);
    if (!account) {
        co_return refuse_key(current, account.error());
    }
    current.account = std::move(*account);
    current.inner = current.inner && !current.account;
    if (auto refusal = co_await check_limit(current)) {
        co_return std::move(*refusal);
    }
    remove_hop_by_hop_headers(request);
    remove_mesh_headers(request);
    request.erase(beast_view(m_settings.names.expected_instance));
    request.erase(beast_view(m_settings.names.caller_service));
    current.request = std::move(request);

    const cancellation_ptr target_cancellation =
        route.idempotent ? context.cancelled : std::make_shared<cancellation>();
    balancing::retry_controller retries(
        {route.idempotent, route.attempts > 0 ? route.attempts : 1, current.deadline});
    balancing::attempt_request attempt_request;
    attempt_request.call_id = current.id;
    attempt_request.service = current.service;
    attempt_request.idempotent = route.idempotent;
    attempt_request.work = route.work;
    attempt_request.deadline = current.deadline;
    std::optional<response_message> last_response;
    while (true) {
        attempt_request.prior_attempts_not_run = retries.definitely_not_run();
        const auto target = m_balancer.choose(attempt_request, common::steady_clock::now());
        if (!target && attempt_request.kind == balancing::attempt_kind::redirect && current.soft_deadline &&
            current.late_responses.allow_late_response()) {
            attempt_request.tried_hosts.clear();
            continue;
        }
        if (!target) {
            current.attempt_trace += std::string(balancing::to_string(target.error().reason));
            // A response of an earlier attempt is better for the caller than an error of this daemon.
            const auto decision = last_response ? balancing::retry_decision(balancing::return_response{})
                                                : retries.decide_without_target(no_target_retry_after);
            co_return finish_call(current, decision, std::move(last_response));
        }
        if (target->backoff.count() > 0) {
            asio::steady_timer timer(m_context, target->backoff);
            error_code ignored;
            co_await timer.async_wait(redirect_error_to(ignored));
        }
        if (context.cancelled->requested() && retries.definitely_not_run()) {
            current.attempt_trace += "caller disconnected";
            co_return finish_call(current, balancing::fail_call{}, std::nullopt);
        }
        const common::steady_time started = common::steady_clock::now();
        ++current.attempts;
        m_metrics.attempts.add();
        current.offered_late = !current.soft_deadline || *current.soft_deadline <= started ||
                               current.late_responses.accepts_late();
        m_saturation.record(route.name, target->host, current.offered_late, false, started);
        call_attempt result = co_await run_attempt(current, *target, target_cancellation);
        record_attempt_result(*target, result, started);
        record_saturation(current, *target, result);
        current.attempt_trace += target->host + ":" + result.detail + " ";
        if (result.key_revoked && retries.definitely_not_run()) {
            co_return refuse_key(current, key_error::revoked);
        }
        if (result.cancelled) {
            co_return finish_call(current, balancing::fail_call{}, std::nullopt);
        }
        const balancing::retry_decision decision = retries.decide(result.end, common::steady_clock::now());
        // A response that the call was not executed is only true while no attempt may have run it.
        const bool ran = result.outcome == attempt_outcome::answered;
        if (result.response && (ran || retries.definitely_not_run())) {
            last_response = std::move(result.response);
        } else if (!retries.definitely_not_run() && !retries.has_response()) {
            last_response.reset();
        }
        current.received_by_target = retries.sent_to_targets() > 0;
        current.accepts_shedding = current.accepts_shedding || result.detail == target_sheds_reason;
        const auto* next_attempt = std::get_if<balancing::start_attempt>(&decision);
        if (next_attempt == nullptr) {
            co_return finish_call(current, decision, std::move(last_response));
        }
        attempt_request.kind = next_attempt->kind;
        if (next_attempt->kind == balancing::attempt_kind::redirect) {
            m_load.count_redirect();
            current.late_responses.record_refusal();
            if (m_settings.stops_when_saturated &&
                m_saturation.timely_saturated(route.name, common::steady_clock::now())) {
                current.late_responses.accept_late();
            }
        }
        attempt_request.tried_hosts.push_back(target->host);
    }
}

void call_router::record_attempt_result(const balancing::attempt_target& target, const call_attempt& result,
                                        common::steady_time started) {
    const common::steady_time now = common::steady_clock::now();
    m_balancer.record_result({target.id, result.outcome, microseconds_between(started, now), result.load},
                             now);
}

/// Records whether the target had room for the call, and marks an end after which further attempts are
/// futile.
void call_router::record_saturation(const call& current, const balancing::attempt_target& target,
                                    call_attempt& result) {
    const common::steady_time now = common::steady_clock::now();
    const std::string& route = current.matched.route->name;
    if (std::holds_alternative<balancing::daemon_refused>(result.end)) {
        m_load.count_refusal(result.detail);
    }
    const bool refused = result.outcome == attempt_outcome::refused && admission::lacks_room(result.detail);
    if (refused) {
        m_saturation.record(route, target.host, current.offered_late, true, now);
    }
    // An inner call that is given up takes the work of the call that made it with it.
    if (!m_settings.stops_when_saturated || current.inner || !m_saturation.saturated(route, now)) {
        return;
    }
    if (auto* refusal = std::get_if<balancing::daemon_refused>(&result.end)) {
        refusal->service_saturated = refused && current.offered_late;
    } else if (auto* response = std::get_if<balancing::target_responded>(&result.end)) {
        response->service_saturated = true;
    }
}

asio::awaitable<call_attempt> call_router::run_attempt(const call& current,
                                                       const balancing::attempt_target& target,
                                                       cancellation_ptr cancelled) {
    if (!m_accounts.holds_key(current.account)) {
        co_return call_attempt::with_revoked_key({});
    }
    const config::route& route = *current.matched.route;
    call_metadata metadata;
    metadata.service = current.service;
    metadata.caller_host = m_settings.host;
    metadata.caller_service = m_settings.service;
    metadata.request_id = current.id;
    if (m_balancer.has_version_rule(current.service)) {
        metadata.route = route.name;
    }
    metadata.work = route.work;
    metadata.idempotent = route.idempotent;
    metadata.priority = route.priority;
    write_account(current.account, metadata);
    metadata.time_left = microseconds_between(common::steady_clock::now(), current.deadline);
    if (current.soft_deadline) {
        const common::steady_time now = common::steady_clock::now();
        metadata.soft_deadline_left =
            std::max(microseconds(0), microseconds_between(now, *current.soft_deadline));
        metadata.accepts_late = current.offered_late;
    }
    metadata.config_version = m_routes->snapshot()->version;
    metadata.retry = current.received_by_target;
    metadata.accepts_shedding = current.accepts_shedding;
    metadata.inner = current.inner;
    metadata.inherited_repeats_permille = static_cast<std::uint32_t>(current.inherited_repeats * 1'000);
    request_message request = current.request;
    if (target.host == m_settings.host) {
        session_response response =
            co_await m_own_target.run(std::move(metadata), std::move(request), cancelled);
        if (cancelled->requested()) {
            co_return call_attempt::disconnected();
        }
        co_return evaluate_response(current, target, std::move(response.message));
    }
    milliseconds body_send_duration{0};
    if (request.body().size() > max_unreserved_body_bytes) {
        auto window = co_await reserve_transfer(m_context, m_pool, target.peer, metadata,
                                                request.body().size(), current.deadline, cancelled);
        // The client may have left during the wait. Nothing was sent, so this holds for any call.
        if (cancelled->requested() || current.client->requested()) {
            co_return call_attempt::disconnected();
        }
        if (!window) {
            co_return call_attempt::without_transfer(window.error());
        }
        body_send_duration = window->duration;
        metadata.time_left = microseconds_between(common::steady_clock::now(), current.deadline);
    }
    write_call_metadata(metadata, request);
    co_return co_await forward_to_peer(current, target, std::move(request), body_send_duration, cancelled);
}

asio::awaitable<call_attempt> call_router::forward_to_peer(const call& current,
                                                           const balancing::attempt_target& target,
                                                           request_message request,
                                                           milliseconds body_send_duration,
                                                           cancellation_ptr cancelled) {
    request.keep_alive(true);
    request.prepare_payload();
    exchange_options options;
    options.deadline = current.deadline + peer_response_grace;
    options.connect_timeout = peer_connect_timeout;
    options.max_idle_time = max_peer_idle_time;
    options.body_send_duration = body_send_duration;
    auto response = co_await m_pool.exchange(target.peer, std::move(request), std::move(options), cancelled);
    if (response) {
        co_return evaluate_response(current, target, std::move(*response));
    }
    call_attempt result;
    result.detail = response.error().detail;
    switch (response.error().kind) {
    case exchange_error_kind::connection_refused:
    case exchange_error_kind::not_sent:
        result.end = balancing::request_not_sent{};
        break;
    case exchange_error_kind::cancelled:
        result.cancelled = true;
        result.outcome = attempt_outcome::cancelled;
        break;
    case exchange_error_kind::response_lost:
    case exchange_error_kind::timed_out:
        result.end = balancing::response_lost{};
        break;
    }
    co_return result;
}

call_attempt call_router::evaluate_response(const call& current, const balancing::attempt_target& target,
                                            response_message response) {
    call_attempt result;
    const auto target_metadata = extract_response_metadata(response);
    if (!target_metadata) {
        result.end = balancing::response_lost{};
        result.detail = "response without metadata of a daemon";
        return result;
    }
    if (target_metadata->config_version > m_routes->snapshot()->version) {
        m_newer_config(target.peer, target_metadata->config_version);
    }
    m_shedding[current.service].record(target_metadata->target_sheds);
    result.load = target_metadata->load;
    result.detail = target_metadata->reason;
    if (result.detail == version_not_in_use_reason) {
        m_newer_plan(target.peer);
    }
    switch (target_metadata->outcome) {
    case forwarding_outcome::answered: {
        const bool not_executed = response.find(beast_view(m_settings.names.not_executed)) != response.end();
        result.end = balancing::target_responded{response.result_int(), not_executed};
        result.outcome = not_executed ? attempt_outcome::refused : attempt_outcome::answered;
        result.detail = std::to_string(response.result_int());
        result.response = std::move(response);
        break;
    }
    case forwarding_outcome::refused:
        if (target_metadata->reason == key_revoked_reason) {
            return call_attempt::with_revoked_key(target_metadata->load);
        }
        result.end = balancing::daemon_refused{target_metadata->retry_after,
                                               target_metadata->reason == retry_limit_reason};
        result.outcome = attempt_outcome::refused;
        break;
    case forwarding_outcome::unsent:
        result.end = balancing::request_not_sent{};
        break;
    case forwarding_outcome::reserved: // Not valid as the response to a call.
    case forwarding_outcome::lost:
        result.end = balancing::response_lost{};
        break;
    }
    return result;
}

response_message call_router::finish_call(const call& current, const balancing::retry_decision& decision,
                                          std::optional<response_message> last_response) {
    const common::steady_time now = common::steady_clock::now();
    const bool deadline_passed = now >= current.deadline;
    response_message response = std::visit(
        common::overloaded{
            [&](const balancing::return_response&) {
                m_metrics.answered.add();
                record_account(current, accounts::call_end::answered);
                remove_hop_by_hop_headers(*last_response);
                last_response->prepare_payload();
                return std::move(*last_response);
            },
            [&](const balancing::refuse_call& refusal) {
                m_metrics.refused.add();
                record_account(current, accounts::call_end::not_run);
                return make_daemon_response(current, http::status::service_unavailable, refusal.retry_after);
            },
            [&](const balancing::fail_call&) {
                m_metrics.failed.add();
                record_account(current, accounts::call_end::unknown);
                return make_daemon_response(current, deadline_passed ? http::status::gateway_timeout
                                                                     : http::status::bad_gateway);
            },
            [&](const balancing::start_attempt&) {
                return make_daemon_response(current, http::status::bad_gateway);
            }},
        decision);
    m_metrics.latency.record(now - current.received, now);
    m_log.write(event_number::call_ended,
                {{"request", current.id},
                 {"route", current.matched.route->name},
                 {"service", current.service},
                 {"status", response.result_int()},
                 {"attempts", current.attempts},
                 {"path", current.attempt_trace},
                 {"elapsed", microseconds_between(current.received, now)},
                 {"time_left", microseconds_between(now, current.deadline)},
                 {"config_version", current.matched.snapshot->version.value}},
                now);
    return response;
}

} // namespace boragehollow::forwarding
