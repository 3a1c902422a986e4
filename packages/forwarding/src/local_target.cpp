#include "boragehollow/forwarding/local_target.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/common/scope_guard.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using telemetry::event_number;

/// The target itself answers at the deadline that it was given; its answer needs a moment to arrive.
constexpr milliseconds answer_grace{120};

/// Idle connections that calls which must not run twice may use: after a longer pause the target may just
/// have closed the connection, and the outcome would be unknown.
constexpr milliseconds fresh_idle{300};
constexpr milliseconds usual_idle{4'000};

/// The target is on this host, so a connection that takes longer than this is not coming.
constexpr milliseconds target_connect_timeout{400};

constexpr unsigned misdirected = 421;

microseconds microseconds_between(common::steady_time from, common::steady_time to) {
    return std::chrono::duration_cast<microseconds>(to - from);
}

} // namespace

struct local_target::waiter {
    explicit waiter(asio::io_context& context) : signal(context) {
        signal.expires_at(common::steady_time::max());
    }

    asio::steady_timer signal;
    std::optional<admission::effect> result;
};

struct local_target::finished_attempt {
    hop_report report;
    std::optional<response_message> response;
    admission::call_result result = admission::call_result::failed;
};

local_target::local_target(asio::io_context& context, header_names names,
                           admission::admission_settings settings, double link_megabits,
                           const telemetry::event_log& events, std::function<void()> unreachable)
    : m_context(context), m_names(std::move(names)), m_log(events), m_unreachable(std::move(unreachable)),
      m_admission(settings), m_transfers(link_megabits), m_pool(context), m_tick(context) {}

void local_target::set_instance(std::optional<target_instance> instance) {
    if (m_instance && (!instance || instance->id != m_instance->id)) {
        m_pool.forget(m_instance->address);
    }
    m_instance = std::move(instance);
    std::optional<admission::local_target> local;
    if (m_instance) {
        local = admission::local_target{m_instance->service, m_instance->slots, m_instance->state};
    }
    apply(m_admission.update_target(std::move(local), common::steady_clock::now()));
}

void local_target::set_policy(const config::admission_policy& policy) {
    apply(m_admission.update_policy(policy, common::steady_clock::now()));
}

void local_target::start_drain() {
    apply(m_admission.start_drain(common::steady_clock::now()));
}

void local_target::apply(const admission::admission_controller::effects& effects) {
    for (const admission::effect& effect : effects) {
        const admission::admission_id id =
            std::visit([](const auto& concrete) { return concrete.id; }, effect);
        const auto found = m_waiters.find(id);
        if (found == m_waiters.end()) {
            continue;
        }
        found->second->result = effect;
        found->second->signal.cancel();
    }
    schedule_tick();
}

void local_target::schedule_tick() {
    const auto next = m_admission.next_wakeup();
    if (!next || *next == m_tick_at) {
        return;
    }
    m_tick_at = *next;
    m_tick.expires_at(*next);
    m_tick.async_wait([this](const error_code& failed) {
        if (failed) {
            return;
        }
        m_tick_at = common::steady_time::max();
        apply(m_admission.tick(common::steady_clock::now()));
    });
}

asio::awaitable<admission::effect> local_target::admit(admission::admission_request request,
                                                       cancellation_ptr cancelled) {
    const admission::admission_id id = request.id;
    const auto waiting = std::make_shared<waiter>(m_context);
    m_waiters.emplace(id, waiting);
    const common::scope_guard forget([this, id] { m_waiters.erase(id); });
    const std::string call_id = request.call_id;
    apply(m_admission.submit(std::move(request), common::steady_clock::now()));
    const cancellation::stage stage(*cancelled, [waiting] { waiting->signal.cancel(); });
    while (!waiting->result) {
        if (cancelled->requested()) {
            apply(m_admission.cancel(id, common::steady_clock::now()));
            co_return admission::effect(
                admission::refused{id, call_id, admission::refusal_reason::deadline_passed, milliseconds(0)});
        }
        error_code ignored;
        co_await waiting->signal.async_wait(result_in(ignored));
    }
    co_return *waiting->result;
}

void local_target::prepare(const hop_call& call, common::steady_time deadline,
                           request_message& request) const {
    const auto left = std::chrono::floor<milliseconds>(deadline - common::steady_clock::now());
    request.set(beast_view(m_names.time_left), std::to_string(std::max<std::int64_t>(1, left.count())));
    request.set(beast_view(m_names.expected_instance), m_instance->id);
    request.set(beast_view(m_names.caller_service), call.caller_service);
    request.keep_alive(true);
    request.prepare_payload();
}

asio::awaitable<local_target::finished_attempt> local_target::send(const hop_call& call,
                                                                   request_message request,
                                                                   common::steady_time deadline,
                                                                   cancellation_ptr cancelled) {
    finished_attempt ended;
    prepare(call, deadline, request);
    exchange_options options;
    options.deadline = deadline + answer_grace;
    options.connect_timeout = target_connect_timeout;
    options.longest_idle = call.idempotent ? usual_idle : fresh_idle;
    options.accepts = [this, id = call.request_id](const response_message& response) {
        const auto echoed = response[beast_view(m_names.request_id)];
        return echoed.empty() || view_of(echoed) == id;
    };
    const common::endpoint address = m_instance->address;
    auto response = co_await m_pool.exchange(address, std::move(request), std::move(options), cancelled);
    if (response) {
        const bool shed = response->find(beast_view(m_names.not_executed)) != response->end();
        if (response->result_int() == misdirected) {
            m_unreachable();
        }
        ended.report.outcome = hop_outcome::answered;
        ended.result = shed ? admission::call_result::shed : admission::call_result::answered;
        ended.response = std::move(*response);
        co_return ended;
    }
    ended.report.reason = response.error().detail;
    switch (response.error().kind) {
    case exchange_error_kind::refused:
        m_unreachable();
        [[fallthrough]];
    case exchange_error_kind::not_sent:
        ended.report.outcome = hop_outcome::unsent;
        ended.result = admission::call_result::not_started;
        break;
    case exchange_error_kind::cancelled:
        ended.result = admission::call_result::cancelled;
        break;
    case exchange_error_kind::lost:
    case exchange_error_kind::timed_out:
        break;
    }
    co_return ended;
}

response_message local_target::report(hop_report report, std::optional<response_message> response) const {
    const admission::admission_status now = m_admission.status();
    report.load = balancing::piggybacked_load{now.queued_short + now.queued_long,
                                              now.running_short + now.running_long, now.slots};
    report.config_version = m_config_version;
    response_message result =
        response ? std::move(*response) : response_message{http::status::service_unavailable, 11};
    remove_connection_headers(result);
    write_hop_report(report, result);
    result.prepare_payload();
    return result;
}

response_message local_target::refusal(const hop_call& call, const admission::refused& reason,
                                       common::steady_time now) {
    const admission::admission_status status = m_admission.status();
    m_log.write(event_number::call_not_admitted,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"reason", admission::to_string(reason.reason)},
                 {"in_use", status.running_short + status.running_long},
                 {"queued", status.queued_short + status.queued_long},
                 {"slots", status.slots},
                 {"retry_after", reason.retry_after}},
                now);
    hop_report refused;
    refused.outcome = admission::outcome_unknown(reason.reason) ? hop_outcome::lost : hop_outcome::refused;
    refused.reason = admission::to_string(reason.reason);
    refused.retry_after = reason.retry_after;
    return report(std::move(refused), std::nullopt);
}

response_message local_target::reserve(const hop_call& call, std::size_t bytes) {
    const common::steady_time now = common::steady_clock::now();
    hop_report answer;
    answer.outcome = hop_outcome::refused;
    const bool serves = m_instance && m_instance->service == call.service &&
                        m_instance->state == admission::target_state::ready;
    if (!serves) {
        answer.reason = admission::to_string(admission::refusal_reason::no_target);
        return report(std::move(answer), std::nullopt);
    }
    const auto window = m_transfers.reserve(bytes, now);
    if (window) {
        answer.outcome = hop_outcome::reserved;
        answer.window = *window;
        return report(std::move(answer), std::nullopt);
    }
    answer.reason = "link_busy";
    answer.retry_after = window.error();
    m_log.write(event_number::call_not_admitted,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"reason", answer.reason},
                 {"bytes", bytes},
                 {"retry_after", answer.retry_after}},
                now);
    return report(std::move(answer), std::nullopt);
}

asio::awaitable<response_message> local_target::run(hop_call call, request_message request,
                                                    cancellation_ptr cancelled) {
    const common::steady_time received = common::steady_clock::now();
    const common::steady_time deadline = received + call.time_left;
    admission::admission_request asked;
    asked.id = {m_next_admission_id++};
    asked.call_id = call.request_id;
    asked.service = call.service;
    asked.caller = call.caller_host;
    asked.work = call.work;
    asked.idempotent = call.idempotent;
    asked.deadline = deadline;
    asked.priority = call.priority;
    if (call.soft_deadline_left) {
        asked.soft_deadline = received + *call.soft_deadline_left;
    }
    asked.accepts_late = call.accepts_late;
    const admission::admission_id id = asked.id;
    const admission::effect decision = co_await admit(std::move(asked), cancelled);
    if (const auto* reason = std::get_if<admission::refused>(&decision)) {
        co_return refusal(call, *reason, common::steady_clock::now());
    }
    const common::steady_time granted = common::steady_clock::now();
    finished_attempt ended;
    if (m_instance) {
        ended = co_await send(call, std::move(request), deadline, cancelled);
    } else {
        ended.report.outcome = hop_outcome::unsent;
        ended.result = admission::call_result::not_started;
    }
    const common::steady_time now = common::steady_clock::now();
    apply(m_admission.finish(id, microseconds_between(granted, now), ended.result, now));
    ended.report.service_time = microseconds_between(granted, now);
    m_log.write(event_number::call_ran,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"instance", m_instance ? m_instance->id : std::string("none")},
                 {"status", ended.response ? ended.response->result_int() : 0U},
                 {"waited", microseconds_between(received, granted)},
                 {"worked", ended.report.service_time},
                 {"time_left", microseconds_between(now, deadline)},
                 {"detail", ended.report.reason}},
                now);
    co_return report(std::move(ended.report), std::move(ended.response));
}

} // namespace boragehollow::forwarding
