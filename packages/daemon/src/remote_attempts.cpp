#include "remote_attempts.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

namespace {

using balancing::attempt_outcome;
using peer::call_failure;
using peer::call_outcome;

/// The target's daemon refuses the call at its deadline; the refusal needs this time to arrive.
constexpr std::chrono::milliseconds reply_grace_period{150};

/// Limit on streams of long work, which have no deadline after admission.
constexpr std::chrono::hours long_work_timeout{24};

constexpr int first_server_error = 500;

} // namespace

call_runner::remote_attempts::remote_attempts(call_runner& runner, incoming_call& call,
                                              std::vector<std::string>& tried, const body_source& body,
                                              caller_response& response)
    : m_runner(runner), m_call(call), m_tried(tried), m_body(body), m_response(response),
      m_deadline(call.deadline + reply_grace_period), m_body_complete(call.body_complete) {}

call_runner::attempt_report call_runner::remote_attempts::run(const balancing::attempt_target& first) {
    if (!start(first)) {
        return m_report;
    }
    if (first.hedge_delay && m_call.body_complete) {
        m_hedge_at = common::steady_clock::now() + *first.hedge_delay;
    }
    while (true) {
        const auto event = m_exchange.next_event(next_deadline());
        if (event) {
            if (handle(*event) == next_step::done) {
                return m_report;
            }
            continue;
        }
        const common::steady_time now = common::steady_clock::now();
        if (m_hedge_at && now >= *m_hedge_at && now < m_deadline) {
            try_hedge();
            continue;
        }
        cancel_others(std::nullopt);
        m_report.status = attempt_status::failed;
        m_report.failure = {call_outcome::unknown, "timed_out", "no response before the deadline", {}};
        return m_report;
    }
}

bool call_runner::remote_attempts::start(const balancing::attempt_target& selected) {
    const common::steady_time started = common::steady_clock::now();
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(m_call.deadline - started);
    const auto channel = m_runner.m_channels->connected_channel(
        selected.peer, std::min(m_runner.m_settings.connect_timeout, remaining));
    if (!channel) {
        m_runner.report(selected, attempt_outcome::failed, started, std::nullopt);
        m_report.failure = {
            call_outcome::not_run, "host_unreachable", "no connection to " + selected.host, {}};
        return false;
    }
    const bool is_long = m_call.head.work == config::work_class::long_work;
    const common::wall_time stream_deadline =
        is_long ? common::wall_now() + long_work_timeout : m_call.head.deadline + reply_grace_period;
    peer::call_request_part part;
    part.head = m_runner.head_for(m_call, selected, m_tried.size());
    part.data = m_call.buffered_body;
    part.end = m_call.body_complete;
    m_exchange.start(channel, m_runner.m_identity, part, stream_deadline);
    m_attempts.push_back({selected, started, std::nullopt, true});
    return true;
}

void call_runner::remote_attempts::try_hedge() {
    m_hedge_at.reset();
    const auto selected = m_runner.m_dispatch.choose(
        m_runner.request_for(m_call, balancing::attempt_kind::hedge, m_tried, false), m_call.deadline);
    if (!selected || !*selected) {
        return;
    }
    if ((*selected)->host == m_runner.m_settings.host) {
        m_runner.report(**selected, attempt_outcome::cancelled, common::steady_clock::now(), std::nullopt);
        return;
    }
    m_tried.push_back((*selected)->host);
    if (start(**selected)) {
        m_runner.m_hedges.add();
    }
}

common::steady_time call_runner::remote_attempts::next_deadline() const {
    return m_hedge_at ? std::min(*m_hedge_at, m_deadline) : m_deadline;
}

call_runner::remote_attempts::next_step
call_runner::remote_attempts::handle(const peer::exchange_event& event) {
    if (!m_attempts[event.attempt].active) {
        return next_step::wait;
    }
    return std::visit(
        common::overloaded{
            [&](const peer::reply_received& received) { return handle_reply(event.attempt, received.part); },
            [&](const peer::write_completed& written) {
                const bool more = written.sent && m_admitted && !m_body_complete;
                return more ? send_more_body(event.attempt) : next_step::wait;
            },
            [&](const peer::stream_lost& lost) { return handle_lost(event.attempt, lost); }},
        event.payload);
}

call_runner::remote_attempts::next_step
call_runner::remote_attempts::handle_reply(peer::attempt_index index, const peer::call_reply_part& part) {
    if (part.load) {
        m_attempts[index].load = part.load;
    }
    if (part.failure) {
        return end_attempt(index, *part.failure);
    }
    if (part.head) {
        return forward_response(index, part);
    }
    m_admitted = true;
    if (m_call.head.work == config::work_class::long_work) {
        m_deadline = common::steady_clock::now() + long_work_timeout;
    }
    m_exchange.read_next(index);
    return m_body_complete ? next_step::wait : send_more_body(index);
}

call_runner::remote_attempts::next_step
call_runner::remote_attempts::send_more_body(peer::attempt_index index) {
    auto part = m_body();
    m_report.body_consumed = true;
    if (!part) {
        cancel_others(std::nullopt);
        m_response.abort();
        m_report.status = attempt_status::aborted;
        return next_step::done;
    }
    m_body_complete = part->end;
    m_exchange.write(index, *part);
    return next_step::wait;
}

call_runner::remote_attempts::next_step
call_runner::remote_attempts::handle_lost(peer::attempt_index index, const peer::stream_lost& lost) {
    const call_outcome outcome = lost.not_run ? call_outcome::not_run : call_outcome::unknown;
    return end_attempt(index, {outcome,
                               lost.not_run ? "refused_by_host" : "host_lost",
                               m_attempts[index].selected.host + ": " + lost.detail,
                               {}});
}

call_runner::remote_attempts::next_step call_runner::remote_attempts::end_attempt(peer::attempt_index index,
                                                                                  call_failure failure) {
    attempt& ended = m_attempts[index];
    ended.active = false;
    const bool refused = failure.outcome == call_outcome::not_run;
    m_runner.report(ended.selected, refused ? attempt_outcome::refused : attempt_outcome::failed,
                    ended.started, ended.load);
    // A hedged call may have run if either of its attempts may have.
    const bool prior_unknown =
        m_report.failure.outcome == call_outcome::unknown && !m_report.failure.reason.empty();
    if (!prior_unknown) {
        m_report.failure = std::move(failure);
    }
    m_report.status = attempt_status::failed;
    return any_active() ? next_step::wait : next_step::done;
}

call_runner::remote_attempts::next_step
call_runner::remote_attempts::forward_response(peer::attempt_index index,
                                               const peer::call_reply_part& first) {
    cancel_others(index);
    attempt& winner = m_attempts[index];
    winner.active = false;
    const bool failed_status = first.head->status >= first_server_error;
    m_runner.report(winner.selected, failed_status ? attempt_outcome::failed : attempt_outcome::answered,
                    winner.started, winner.load);
    m_report.status = attempt_status::aborted;
    if (!m_response.forward(first, winner.selected.host)) {
        m_response.abort();
        return next_step::done;
    }
    bool complete = first.end;
    while (!complete) {
        m_exchange.read_next(index);
        const auto event = m_exchange.next_event(m_deadline);
        if (event && event->attempt != index) {
            continue;
        }
        if (event && std::holds_alternative<peer::write_completed>(event->payload)) {
            continue;
        }
        const auto* received = event ? std::get_if<peer::reply_received>(&event->payload) : nullptr;
        if (received == nullptr || received->part.failure ||
            !m_response.forward(received->part, winner.selected.host)) {
            m_exchange.cancel(index);
            m_response.abort();
            return next_step::done;
        }
        complete = received->part.end;
    }
    m_report.status = attempt_status::completed;
    return next_step::done;
}

void call_runner::remote_attempts::cancel_others(std::optional<peer::attempt_index> winner) {
    for (peer::attempt_index index = 0; index < m_attempts.size(); ++index) {
        attempt& other = m_attempts[index];
        if (!other.active || index == winner) {
            continue;
        }
        other.active = false;
        m_exchange.cancel(index);
        const auto outcome = winner ? attempt_outcome::cancelled : attempt_outcome::failed;
        m_runner.report(other.selected, outcome, other.started, other.load);
    }
}

bool call_runner::remote_attempts::any_active() const {
    return std::any_of(m_attempts.begin(), m_attempts.end(), [](const attempt& each) { return each.active; });
}

} // namespace boragehollow::daemon
