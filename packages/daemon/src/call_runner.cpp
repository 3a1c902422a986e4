#include "boragehollow/daemon/call_runner.hpp"

#include "remote_attempts.hpp"

#include <thread>
#include <utility>

namespace boragehollow::daemon {

namespace {

using balancing::attempt_kind;
using balancing::attempt_outcome;
using peer::call_failure;
using peer::call_outcome;

constexpr std::chrono::seconds report_timeout{5};

call_failure refusal_failure(const balancing::selection_error& refusal) {
    const call_outcome outcome =
        balancing::outcome_unknown(refusal.reason) ? call_outcome::unknown : call_outcome::not_run;
    return {outcome, std::string(balancing::to_string(refusal.reason)), "no target was selected", {}};
}

/// Selects the failure that is reported to the caller. If an earlier attempt may have run, its failure takes
/// precedence over a last attempt that did not run.
call_failure combine(const std::optional<call_failure>& prior_unknown, call_failure last) {
    if (prior_unknown && last.outcome == call_outcome::not_run) {
        return *prior_unknown;
    }
    return last;
}

} // namespace

call_runner::call_runner(call_runner_settings settings, dispatch_duty& dispatch, target_runner& local,
                         std::shared_ptr<peer::channel_pool> channels, peer::peer_identity identity,
                         telemetry::metric_registry& metrics)
    : m_settings(std::move(settings)), m_dispatch(dispatch), m_local(local), m_channels(std::move(channels)),
      m_identity(std::move(identity)),
      m_answered(
          metrics.add_counter("boragehollow_calls_total", "Calls by outcome", {{"outcome", "answered"}})),
      m_not_run(
          metrics.add_counter("boragehollow_calls_total", "Calls by outcome", {{"outcome", "not_run"}})),
      m_unknown(
          metrics.add_counter("boragehollow_calls_total", "Calls by outcome", {{"outcome", "unknown"}})),
      m_aborted(
          metrics.add_counter("boragehollow_calls_total", "Calls by outcome", {{"outcome", "aborted"}})),
      m_retries(metrics.add_counter("boragehollow_retries_total", "Attempts after the first one")),
      m_hedges(metrics.add_counter("boragehollow_hedges_total", "Second attempts of hedged calls")),
      m_latency(metrics.add_latency("boragehollow_call_seconds",
                                    "Time from the request to the end of the response")) {}

void call_runner::run(incoming_call& call, const body_source& body, caller_response& response) {
    const common::steady_time started = common::steady_clock::now();
    std::vector<std::string> tried;
    std::optional<call_failure> prior_unknown;
    std::optional<call_failure> last;
    while (true) {
        const attempt_kind kind = tried.empty() ? attempt_kind::first : attempt_kind::retry;
        const auto selected =
            m_dispatch.choose(request_for(call, kind, tried, !prior_unknown), call.deadline);
        if (!selected || !*selected) {
            call_failure failure =
                selected ? refusal_failure(selected->error())
                         : call_failure{
                               call_outcome::not_run, "daemon_busy", "the dispatch duty is overloaded", {}};
            // The failure of the last attempt is more specific than the refusal of a further one.
            if (last && failure.outcome == call_outcome::not_run) {
                failure = *last;
            }
            failure = combine(prior_unknown, std::move(failure));
            (failure.outcome == call_outcome::not_run ? m_not_run : m_unknown).add();
            response.fail(failure);
            return;
        }
        if ((*selected)->backoff.count() > 0) {
            std::this_thread::sleep_until(common::steady_clock::now() + (*selected)->backoff);
        }
        if (!tried.empty()) {
            m_retries.add();
        }
        tried.push_back((*selected)->host);
        const bool local = (*selected)->host == m_settings.host;
        attempt_report ended = local ? run_local(call, **selected, tried.size(), body, response)
                                     : run_remote(call, **selected, tried, body, response);
        if (ended.status == attempt_status::completed) {
            m_answered.add();
            const common::steady_time now = common::steady_clock::now();
            m_latency.record(now - started, now);
            return;
        }
        if (ended.status == attempt_status::aborted) {
            m_aborted.add();
            return;
        }
        const bool may_have_run = ended.failure.outcome == call_outcome::unknown;
        if (may_have_run) {
            prior_unknown = ended.failure;
        }
        last = ended.failure;
        if (ended.body_consumed || (may_have_run && !call.head.idempotent)) {
            const call_failure failure = combine(prior_unknown, std::move(ended.failure));
            (failure.outcome == call_outcome::not_run ? m_not_run : m_unknown).add();
            response.fail(failure);
            return;
        }
    }
}

balancing::attempt_request call_runner::request_for(const incoming_call& call, attempt_kind kind,
                                                    const std::vector<std::string>& tried,
                                                    bool prior_attempts_not_run) const {
    balancing::attempt_request request;
    request.call_id = call.head.call_id;
    request.service = call.head.service;
    request.idempotent = call.head.idempotent;
    request.work = call.head.work;
    request.idempotency_key = call.head.idempotency_key;
    request.deadline = call.deadline;
    request.tried_hosts = tried;
    request.kind = kind;
    request.prior_attempts_not_run = prior_attempts_not_run;
    return request;
}

peer::call_head call_runner::head_for(const incoming_call& call, const balancing::attempt_target& selected,
                                      std::size_t attempt) const {
    peer::call_head head = call.head;
    head.remaining =
        std::chrono::duration_cast<std::chrono::microseconds>(call.deadline - common::steady_clock::now());
    head.attempt = static_cast<std::uint32_t>(attempt);
    head.target_host = selected.host;
    return head;
}

call_runner::attempt_report call_runner::run_local(incoming_call& call,
                                                   const balancing::attempt_target& selected,
                                                   std::size_t attempt, const body_source& body,
                                                   caller_response& response) {
    const common::steady_time started = common::steady_clock::now();
    attempt_report result;
    std::optional<peer::target_load> load;
    bool complete = false;
    const request_source source = [&]() -> std::optional<peer::call_request_part> {
        result.body_consumed = true;
        return body();
    };
    const reply_sink sink = [&](const peer::call_reply_part& part) {
        if (part.load) {
            load = part.load;
        }
        if (part.failure) {
            result.failure = *part.failure;
            return true;
        }
        if (!part.head && !response.started()) {
            return true;
        }
        complete = part.end;
        return response.forward(part, selected.host);
    };
    m_local.run(head_for(call, selected, attempt), {std::nullopt, call.buffered_body, call.body_complete},
                source, sink);
    if (response.started()) {
        constexpr int first_server_error = 500;
        const bool succeeded = complete && response.status() < first_server_error;
        report(selected, succeeded ? attempt_outcome::answered : attempt_outcome::failed, started, load);
        result.status = complete ? attempt_status::completed : attempt_status::aborted;
        if (!complete) {
            response.abort();
        }
        return result;
    }
    const bool refused = result.failure.outcome == call_outcome::not_run;
    report(selected, refused ? attempt_outcome::refused : attempt_outcome::failed, started, load);
    return result;
}

call_runner::attempt_report call_runner::run_remote(incoming_call& call,
                                                    const balancing::attempt_target& selected,
                                                    std::vector<std::string>& tried, const body_source& body,
                                                    caller_response& response) {
    remote_attempts attempts(*this, call, tried, body, response);
    return attempts.run(selected);
}

void call_runner::report(const balancing::attempt_target& selected, attempt_outcome outcome,
                         common::steady_time started, std::optional<peer::target_load> load) {
    const common::steady_time now = common::steady_clock::now();
    balancing::attempt_result result;
    result.id = selected.id;
    result.outcome = outcome;
    result.latency = std::chrono::duration_cast<std::chrono::microseconds>(now - started);
    if (load) {
        result.load = balancing::piggybacked_load{load->queued, load->in_use, load->slots};
    }
    // A lost report would leave the attempt outstanding forever, so this waits for space in the ring.
    m_dispatch.ring().push_until(attempt_ended{result}, now + report_timeout);
}

} // namespace boragehollow::daemon
