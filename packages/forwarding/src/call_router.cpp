#include "boragehollow/forwarding/call_router.hpp"

#include "boragehollow/balancing/late_response_policy.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/routing/backend_split.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using balancing::attempt_outcome;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using telemetry::event_number;

/// The target's daemon needs a moment beyond the deadline to pass on the target's last answer.
constexpr milliseconds hop_grace{220};

/// A connection between daemons takes a round trip; a lost packet adds a retransmission after 200 ms.
constexpr milliseconds hop_connect_timeout{350};
constexpr milliseconds hop_longest_idle{6'000};

/// A larger body is sent when the target's daemon has room for it on its link: a reservation costs a round
/// trip of one or two milliseconds, and this much takes 20 ms on a link of 7 Mbit/s.
constexpr std::size_t largest_unreserved_body = 16 * 1024;

/// A daemon that is busy answers a reservation within this time.
constexpr milliseconds reservation_timeout{400};

/// Advice of a daemon that has no configuration yet; a start takes about this long.
constexpr milliseconds no_config_retry{400};
/// Advice where no target is known: the announcements of new ones arrive within about a second.
constexpr milliseconds no_target_retry{400};

/// Share of the advice by which callers are spread, so that they do not return together.
constexpr double retry_spread = 0.5;

std::string seconds_text(milliseconds value) {
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(value).count());
    return {text.data(), static_cast<std::size_t>(length)};
}

microseconds microseconds_between(common::steady_time from, common::steady_time to) {
    return std::chrono::duration_cast<microseconds>(to - from);
}

} // namespace

struct call_router::call {
    request_message request; ///< As the targets get it, without what each attempt adds.
    std::string id;
    routing::matched_route matched;
    std::string service;
    common::steady_time received;
    common::steady_time deadline;
    std::optional<common::steady_time> soft_deadline; ///< Until then an answer is worth most.
    balancing::late_response_policy late_responses;
    std::string path_taken; ///< Hosts and outcomes of the attempts, for the log.
    std::uint32_t attempts = 0;
};

struct call_router::attempt {
    balancing::attempt_end end;
    attempt_outcome outcome = attempt_outcome::failed;
    std::optional<response_message> response;
    std::optional<balancing::piggybacked_load> load;
    std::string detail;
    bool cancelled = false;
};

struct call_router::reservation {
    admission::transfer_window window;
    std::optional<attempt> failed; ///< Set where the body must not be sent.
};

call_router::call_router(asio::io_context& context, router_settings settings, local_target& own_target,
                         common::random_source random, const telemetry::event_log& events,
                         telemetry::metric_registry& metrics, newer_config_sink newer_config)
    : m_context(context), m_settings(std::move(settings)), m_own_target(own_target), m_random(random),
      m_log(events), m_newer_config(std::move(newer_config)),
      m_balancer(m_settings.balancing, common::random_source::from_system()), m_pool(context),
      m_answered(metrics.add_counter("boragehollow_calls_total", "Calls of this host's callers by outcome",
                                     {{"outcome", "answered"}})),
      m_refused(metrics.add_counter("boragehollow_calls_total", "Calls of this host's callers by outcome",
                                    {{"outcome", "not_run"}})),
      m_failed(metrics.add_counter("boragehollow_calls_total", "Calls of this host's callers by outcome",
                                   {{"outcome", "unknown"}})),
      m_attempts(metrics.add_counter("boragehollow_attempts_total", "Attempts at targets or their daemons")),
      m_latency(metrics.add_latency("boragehollow_call_latency_seconds",
                                    "Time from the request to its final response")) {}

void call_router::set_routes(std::shared_ptr<const routing::route_table> routes, common::steady_time now) {
    m_routes = std::move(routes);
    for (const std::string& name : m_balancer.services()) {
        if (m_routes->find_service(name) == nullptr) {
            m_balancer.remove_policy(name);
        }
    }
    for (const auto& [key, stored] : m_routes->snapshot()->resources) {
        if (const auto* policy = std::get_if<config::service_policy>(&stored.value)) {
            m_balancer.update_policy(*policy, {}, now);
        }
    }
}

bool call_router::may_overtake(const request_message& request) const {
    if (!m_routes) {
        return false;
    }
    const auto matched = m_routes->match(view_of(request[http::field::host]), view_of(request.target()),
                                         view_of(request.method_string()));
    return matched && matched->route->idempotent;
}

response_message call_router::own_response(const call& current, http::status status,
                                           milliseconds retry_after) {
    response_message response{status, 11};
    if (!current.id.empty()) {
        response.set(beast_view(m_settings.names.request_id), current.id);
    }
    if (retry_after.count() > 0) {
        const milliseconds spread(static_cast<milliseconds::rep>(static_cast<double>(retry_after.count()) *
                                                                 (1.0 + retry_spread * m_random.fraction())));
        response.set(http::field::retry_after, seconds_text(spread));
    }
    response.prepare_payload();
    return response;
}

/// Finds the route and the time limits; a response means that the call ends here.
std::optional<response_message> call_router::begin(const request_message& request, call& current) {
    current.received = common::steady_clock::now();
    const auto id = request[beast_view(m_settings.names.request_id)];
    current.id.assign(id.data(), id.size());
    if (!m_routes) {
        m_refused.add();
        return own_response(current, http::status::service_unavailable, no_config_retry);
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
        return own_response(current, static_cast<http::status>(routing::http_status(matched.error())));
    }
    current.matched = std::move(*matched);
    const config::route& route = *current.matched.route;
    milliseconds allowed = route.deadline;
    if (const auto stated = number_in(request, m_settings.names.time_left)) {
        allowed = std::min(allowed, milliseconds(static_cast<milliseconds::rep>(
                                        std::min<std::uint64_t>(*stated, 86'400'000))));
    }
    current.deadline = current.received + allowed;
    if (route.target_latency.count() > 0) {
        const auto stated = number_in(request, m_settings.names.time_left);
        const milliseconds waited =
            stated ? m_wait_estimator.estimate_wait(route.name, milliseconds(*stated), current.received)
                   : milliseconds(0);
        current.soft_deadline = current.received + route.target_latency - waited;
    }
    current.service = routing::choose_backend(route, m_random);
    return std::nullopt;
}

asio::awaitable<response_message> call_router::handle(request_message request, cancellation_ptr cancelled) {
    call current;
    if (auto ended = begin(request, current)) {
        co_return std::move(*ended);
    }
    const config::route& route = *current.matched.route;
    remove_connection_headers(request);
    remove_hop_headers(request);
    request.erase(beast_view(m_settings.names.expected_instance));
    request.erase(beast_view(m_settings.names.caller_service));
    current.request = std::move(request);

    const cancellation_ptr stop = route.idempotent ? cancelled : std::make_shared<cancellation>();
    balancing::retry_controller retries(
        {route.idempotent, route.attempts > 0 ? route.attempts : 1, current.deadline});
    balancing::attempt_request wanted;
    wanted.call_id = current.id;
    wanted.service = current.service;
    wanted.idempotent = route.idempotent;
    wanted.work = route.work;
    wanted.deadline = current.deadline;
    std::optional<response_message> answer;
    while (true) {
        wanted.prior_attempts_not_run = retries.definitely_not_run();
        const auto choice = m_balancer.choose(wanted, common::steady_clock::now());
        if (!choice && wanted.kind == balancing::attempt_kind::redirect && current.soft_deadline &&
            current.late_responses.allow_late_response()) {
            wanted.tried_hosts.clear();
            continue;
        }
        if (!choice) {
            current.path_taken += std::string(balancing::to_string(choice.error().reason));
            // An answer that is ready is worth more than a failure of this daemon's own.
            const auto step = answer ? balancing::retry_decision(balancing::return_response{})
                                     : retries.decide_without_target(no_target_retry);
            co_return conclude(current, step, std::move(answer));
        }
        if (choice->backoff.count() > 0) {
            asio::steady_timer pause(m_context, choice->backoff);
            error_code ignored;
            co_await pause.async_wait(result_in(ignored));
        }
        const common::steady_time begun = common::steady_clock::now();
        ++current.attempts;
        m_attempts.add();
        attempt ended = co_await try_target(current, *choice, stop);
        settle(*choice, ended, begun);
        current.path_taken += choice->host + ":" + ended.detail + " ";
        if (ended.response) {
            answer = std::move(ended.response);
        }
        if (ended.cancelled) {
            co_return conclude(current, balancing::fail_call{}, std::nullopt);
        }
        const balancing::retry_decision step = retries.decide(ended.end, common::steady_clock::now());
        const auto* again = std::get_if<balancing::start_attempt>(&step);
        if (again == nullptr) {
            co_return conclude(current, step, std::move(answer));
        }
        wanted.kind = again->kind;
        if (again->kind == balancing::attempt_kind::redirect) {
            current.late_responses.record_refusal();
        }
        wanted.tried_hosts.push_back(choice->host);
    }
}

void call_router::settle(const balancing::attempt_target& choice, const attempt& ended,
                         common::steady_time begun) {
    const common::steady_time now = common::steady_clock::now();
    m_balancer.record_result({choice.id, ended.outcome, microseconds_between(begun, now), ended.load}, now);
}

asio::awaitable<call_router::attempt> call_router::try_target(const call& current,
                                                              const balancing::attempt_target& choice,
                                                              cancellation_ptr cancelled) {
    const config::route& route = *current.matched.route;
    hop_call hop;
    hop.service = current.service;
    hop.caller_host = m_settings.host;
    hop.caller_service = m_settings.service;
    hop.request_id = current.id;
    hop.work = route.work;
    hop.idempotent = route.idempotent;
    hop.priority = route.priority;
    hop.time_left = microseconds_between(common::steady_clock::now(), current.deadline);
    if (current.soft_deadline) {
        const common::steady_time now = common::steady_clock::now();
        hop.soft_deadline_left = std::max(microseconds(0), microseconds_between(now, *current.soft_deadline));
        hop.accepts_late = *current.soft_deadline <= now || current.late_responses.accepts_late();
    }
    hop.config_version = m_routes->snapshot()->version;
    request_message request = current.request;
    if (choice.host == m_settings.host) {
        response_message response = co_await m_own_target.run(std::move(hop), std::move(request), cancelled);
        if (cancelled->requested()) {
            attempt left;
            left.cancelled = true;
            left.detail = "caller left";
            left.outcome = attempt_outcome::cancelled;
            co_return left;
        }
        co_return read_report(current, choice, std::move(response));
    }
    milliseconds body_spread{0};
    if (request.body().size() > largest_unreserved_body) {
        reservation reserved = co_await reserve(current, choice, hop, cancelled);
        if (reserved.failed) {
            co_return std::move(*reserved.failed);
        }
        body_spread = reserved.window.duration;
        hop.time_left = microseconds_between(common::steady_clock::now(), current.deadline);
    }
    write_hop_call(hop, request);
    co_return co_await ask_daemon(current, choice, std::move(request), body_spread, cancelled);
}

/// Asks the target's daemon when the body may be sent, and waits until then.
asio::awaitable<call_router::reservation> call_router::reserve(const call& current,
                                                               const balancing::attempt_target& choice,
                                                               hop_call hop, cancellation_ptr cancelled) {
    hop.transfer_bytes = current.request.body().size();
    request_message question{http::verb::get, "/", 11};
    write_hop_call(hop, question);
    question.keep_alive(true);
    question.prepare_payload();
    exchange_options options;
    options.deadline = std::min(current.deadline, common::steady_clock::now() + reservation_timeout);
    options.connect_timeout = hop_connect_timeout;
    options.longest_idle = hop_longest_idle;
    auto response = co_await m_pool.exchange(choice.peer, std::move(question), std::move(options), cancelled);
    const auto report = response ? take_hop_report(*response) : std::nullopt;
    reservation result;
    if (cancelled->requested()) {
        result.failed = attempt{};
        result.failed->cancelled = true;
        result.failed->outcome = attempt_outcome::cancelled;
        result.failed->detail = "caller left";
        co_return result;
    }
    if (!report || report->outcome != hop_outcome::reserved) {
        // The body stays here, so that the call certainly has not run.
        result.failed = attempt{};
        result.failed->detail = report ? report->reason : "no reservation";
        result.failed->end = report ? balancing::attempt_end(balancing::daemon_refused{report->retry_after})
                                    : balancing::attempt_end(balancing::request_not_sent{});
        result.failed->outcome = report ? attempt_outcome::refused : attempt_outcome::failed;
        result.failed->load = report ? report->load : std::nullopt;
        co_return result;
    }
    result.window = report->window;
    if (result.window.begin_after.count() > 0) {
        asio::steady_timer pause(m_context, result.window.begin_after);
        error_code ignored;
        co_await pause.async_wait(result_in(ignored));
    }
    co_return result;
}

asio::awaitable<call_router::attempt>
call_router::ask_daemon(const call& current, const balancing::attempt_target& choice, request_message request,
                        milliseconds body_spread, cancellation_ptr cancelled) {
    request.keep_alive(true);
    request.prepare_payload();
    exchange_options options;
    options.deadline = current.deadline + hop_grace;
    options.connect_timeout = hop_connect_timeout;
    options.longest_idle = hop_longest_idle;
    options.body_spread = body_spread;
    auto response = co_await m_pool.exchange(choice.peer, std::move(request), std::move(options), cancelled);
    if (response) {
        co_return read_report(current, choice, std::move(*response));
    }
    attempt ended;
    ended.detail = response.error().detail;
    switch (response.error().kind) {
    case exchange_error_kind::refused:
    case exchange_error_kind::not_sent:
        ended.end = balancing::request_not_sent{};
        break;
    case exchange_error_kind::cancelled:
        ended.cancelled = true;
        ended.outcome = attempt_outcome::cancelled;
        break;
    case exchange_error_kind::lost:
    case exchange_error_kind::timed_out:
        ended.end = balancing::response_lost{};
        break;
    }
    co_return ended;
}

call_router::attempt call_router::read_report(const call& current, const balancing::attempt_target& choice,
                                              response_message response) {
    attempt ended;
    const auto report = take_hop_report(response);
    if (!report) {
        ended.end = balancing::response_lost{};
        ended.detail = "no daemon's answer";
        return ended;
    }
    if (report->config_version > m_routes->snapshot()->version) {
        m_newer_config(choice.peer, report->config_version);
    }
    ended.load = report->load;
    ended.detail = report->reason;
    switch (report->outcome) {
    case hop_outcome::answered: {
        const bool not_executed = response.find(beast_view(m_settings.names.not_executed)) != response.end();
        ended.end = balancing::target_responded{response.result_int(), not_executed};
        ended.outcome = not_executed ? attempt_outcome::refused : attempt_outcome::answered;
        ended.detail = std::to_string(response.result_int());
        ended.response = std::move(response);
        break;
    }
    case hop_outcome::refused:
        ended.end = balancing::daemon_refused{report->retry_after};
        ended.outcome = attempt_outcome::refused;
        break;
    case hop_outcome::unsent:
        ended.end = balancing::request_not_sent{};
        break;
    case hop_outcome::reserved: // No answer to a call.
    case hop_outcome::lost:
        ended.end = balancing::response_lost{};
        break;
    }
    (void)current;
    return ended;
}

response_message call_router::conclude(const call& current, const balancing::retry_decision& step,
                                       std::optional<response_message> answer) {
    const common::steady_time now = common::steady_clock::now();
    const bool late = now >= current.deadline;
    response_message response =
        std::visit(common::overloaded{[&](const balancing::return_response&) {
                                          m_answered.add();
                                          remove_connection_headers(*answer);
                                          answer->prepare_payload();
                                          return std::move(*answer);
                                      },
                                      [&](const balancing::refuse_call& refusal) {
                                          m_refused.add();
                                          return own_response(current, http::status::service_unavailable,
                                                              refusal.retry_after);
                                      },
                                      [&](const balancing::fail_call&) {
                                          m_failed.add();
                                          return own_response(current, late ? http::status::gateway_timeout
                                                                            : http::status::bad_gateway);
                                      },
                                      [&](const balancing::start_attempt&) {
                                          return own_response(current, http::status::bad_gateway);
                                      }},
                   step);
    m_latency.record(now - current.received, now);
    m_log.write(event_number::call_ended,
                {{"request", current.id},
                 {"route", current.matched.route->name},
                 {"service", current.service},
                 {"status", response.result_int()},
                 {"attempts", current.attempts},
                 {"path", current.path_taken},
                 {"elapsed", microseconds_between(current.received, now)},
                 {"time_left", microseconds_between(now, current.deadline)},
                 {"config_version", current.matched.snapshot->version.value}},
                now);
    return response;
}

} // namespace boragehollow::forwarding
