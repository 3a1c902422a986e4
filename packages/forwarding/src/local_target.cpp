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

/// The target responds at its deadline at the latest; this is the time for that response to arrive.
constexpr milliseconds target_response_grace{120};

/// Non-idempotent calls reuse a connection only after a short idle time: after a longer one the
/// target may be closing the connection, and the outcome of the call would be unknown.
constexpr milliseconds max_idle_time_non_idempotent{300};
constexpr milliseconds max_idle_time_idempotent{4'000};

/// The target is on this host, so that a connection attempt that takes longer will not succeed.
constexpr milliseconds target_connect_timeout{400};

constexpr unsigned misdirected_request_status = 421;

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

struct local_target::target_attempt {
    response_metadata metadata;
    std::optional<response_message> response;
    admission::call_result result = admission::call_result::failed;
};

local_target::local_target(asio::io_context& context, header_names names,
                           admission::admission_settings settings, double link_megabits,
                           const telemetry::event_log& events, std::function<void()> on_unreachable)
    : m_context(context), m_names(std::move(names)), m_log(events),
      m_on_unreachable(std::move(on_unreachable)), m_admission(settings), m_transfers(link_megabits),
      m_pool(context), m_tick(context) {}

void local_target::set_instance(std::optional<target_instance> instance) {
    if (m_instance && (!instance || instance->id != m_instance->id)) {
        m_pool.close_idle(m_instance->address);
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
    m_tick.async_wait([this](const error_code& error) {
        if (error) {
            return;
        }
        m_tick_at = common::steady_time::max();
        apply(m_admission.tick(common::steady_clock::now()));
    });
}

asio::awaitable<admission::effect> local_target::admit(admission::admission_request request,
                                                       cancellation_ptr cancelled) {
    const admission::admission_id id = request.id;
    const auto pending = std::make_shared<waiter>(m_context);
    m_waiters.emplace(id, pending);
    const common::scope_guard remove_waiter([this, id] { m_waiters.erase(id); });
    const std::string call_id = request.call_id;
    apply(m_admission.submit(std::move(request), common::steady_clock::now()));
    const cancellation::action_guard guard(*cancelled, [pending] { pending->signal.cancel(); });
    while (!pending->result) {
        if (cancelled->requested()) {
            apply(m_admission.cancel(id, common::steady_clock::now()));
            co_return admission::effect(
                admission::refused{id, call_id, admission::refusal_reason::deadline_passed, milliseconds(0)});
        }
        error_code ignored;
        co_await pending->signal.async_wait(redirect_error_to(ignored));
    }
    co_return *pending->result;
}

void local_target::prepare_request(const call_metadata& call, common::steady_time deadline,
                                   request_message& request) const {
    const auto remaining = std::chrono::floor<milliseconds>(deadline - common::steady_clock::now());
    request.set(beast_view(m_names.time_left), std::to_string(std::max<std::int64_t>(1, remaining.count())));
    request.set(beast_view(m_names.expected_instance), m_instance->id);
    request.set(beast_view(m_names.caller_service), call.caller_service);
    request.keep_alive(true);
    request.prepare_payload();
}

asio::awaitable<local_target::target_attempt> local_target::send(const call_metadata& call,
                                                                 request_message request,
                                                                 common::steady_time deadline,
                                                                 cancellation_ptr cancelled) {
    target_attempt attempt;
    prepare_request(call, deadline, request);
    exchange_options options;
    options.deadline = deadline + target_response_grace;
    options.connect_timeout = target_connect_timeout;
    options.max_idle_time = call.idempotent ? max_idle_time_idempotent : max_idle_time_non_idempotent;
    options.matches_request = [this, id = call.request_id](const response_message& response) {
        const auto response_id = response[beast_view(m_names.request_id)];
        return response_id.empty() || view_of(response_id) == id;
    };
    const common::endpoint address = m_instance->address;
    auto response = co_await m_pool.exchange(address, std::move(request), std::move(options), cancelled);
    if (response) {
        const bool shed = response->find(beast_view(m_names.not_executed)) != response->end();
        if (response->result_int() == misdirected_request_status) {
            m_on_unreachable();
        }
        attempt.metadata.outcome = forwarding_outcome::answered;
        attempt.result = shed ? admission::call_result::shed : admission::call_result::answered;
        attempt.response = std::move(*response);
        co_return attempt;
    }
    attempt.metadata.reason = response.error().detail;
    switch (response.error().kind) {
    case exchange_error_kind::connection_refused:
        m_on_unreachable();
        [[fallthrough]];
    case exchange_error_kind::not_sent:
        attempt.metadata.outcome = forwarding_outcome::unsent;
        attempt.result = admission::call_result::not_started;
        break;
    case exchange_error_kind::cancelled:
        attempt.result = admission::call_result::cancelled;
        break;
    case exchange_error_kind::response_lost:
    case exchange_error_kind::timed_out:
        break;
    }
    co_return attempt;
}

response_message local_target::make_response(response_metadata metadata,
                                             std::optional<response_message> response) const {
    const admission::admission_status status = m_admission.status();
    metadata.load = balancing::piggybacked_load{status.queued_short + status.queued_long,
                                                status.running_short + status.running_long, status.slots};
    metadata.config_version = m_config_version;
    response_message result =
        response ? std::move(*response) : response_message{http::status::service_unavailable, 11};
    remove_hop_by_hop_headers(result);
    write_response_metadata(metadata, result);
    result.prepare_payload();
    return result;
}

response_message local_target::refusal_response(const call_metadata& call, const admission::refused& refused,
                                                common::steady_time now) {
    const admission::admission_status status = m_admission.status();
    m_log.write(event_number::call_not_admitted,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"reason", admission::to_string(refused.reason)},
                 {"in_use", status.running_short + status.running_long},
                 {"queued", status.queued_short + status.queued_long},
                 {"slots", status.slots},
                 {"retry_after", refused.retry_after}},
                now);
    response_metadata metadata;
    metadata.outcome =
        admission::outcome_unknown(refused.reason) ? forwarding_outcome::lost : forwarding_outcome::refused;
    metadata.reason = admission::to_string(refused.reason);
    metadata.retry_after = refused.retry_after;
    return make_response(std::move(metadata), std::nullopt);
}

response_message local_target::reserve_transfer(const call_metadata& call, std::size_t bytes) {
    const common::steady_time now = common::steady_clock::now();
    response_metadata metadata;
    metadata.outcome = forwarding_outcome::refused;
    const bool serves = m_instance && m_instance->service == call.service &&
                        m_instance->state == admission::target_state::ready;
    if (!serves) {
        metadata.reason = admission::to_string(admission::refusal_reason::no_target);
        return make_response(std::move(metadata), std::nullopt);
    }
    const auto window = m_transfers.reserve(bytes, now);
    if (window) {
        metadata.outcome = forwarding_outcome::reserved;
        metadata.window = *window;
        return make_response(std::move(metadata), std::nullopt);
    }
    metadata.reason = "link_busy";
    metadata.retry_after = window.error();
    m_log.write(event_number::call_not_admitted,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"reason", metadata.reason},
                 {"bytes", bytes},
                 {"retry_after", metadata.retry_after}},
                now);
    return make_response(std::move(metadata), std::nullopt);
}

asio::awaitable<response_message> local_target::run(call_metadata call, request_message request,
                                                    cancellation_ptr cancelled) {
    const common::steady_time received = common::steady_clock::now();
    const common::steady_time deadline = received + call.time_left;
    admission::admission_request submission;
    submission.id = {m_next_admission_id++};
    submission.call_id = call.request_id;
    submission.service = call.service;
    submission.caller = call.caller_host;
    submission.work = call.work;
    submission.idempotent = call.idempotent;
    submission.deadline = deadline;
    submission.priority = call.priority;
    if (call.soft_deadline_left) {
        submission.soft_deadline = received + *call.soft_deadline_left;
    }
    submission.accepts_late = call.accepts_late;
    const admission::admission_id id = submission.id;
    const admission::effect decision = co_await admit(std::move(submission), cancelled);
    if (const auto* refused = std::get_if<admission::refused>(&decision)) {
        co_return refusal_response(call, *refused, common::steady_clock::now());
    }
    const common::steady_time granted = common::steady_clock::now();
    target_attempt attempt;
    if (m_instance) {
        attempt = co_await send(call, std::move(request), deadline, cancelled);
    } else {
        attempt.metadata.outcome = forwarding_outcome::unsent;
        attempt.result = admission::call_result::not_started;
    }
    const common::steady_time now = common::steady_clock::now();
    apply(m_admission.finish(id, microseconds_between(granted, now), attempt.result, now));
    attempt.metadata.service_time = microseconds_between(granted, now);
    m_log.write(event_number::call_ran,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"instance", m_instance ? m_instance->id : std::string("none")},
                 {"status", attempt.response ? attempt.response->result_int() : 0U},
                 {"waited", microseconds_between(received, granted)},
                 {"worked", attempt.metadata.service_time},
                 {"time_left", microseconds_between(now, deadline)},
                 {"detail", attempt.metadata.reason}},
                now);
    co_return make_response(std::move(attempt.metadata), std::move(attempt.response));
}

} // namespace boragehollow::forwarding
