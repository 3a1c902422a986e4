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

/// A larger response is scheduled on the link. It takes 20 ms on a link of 7 Mbit/s.
constexpr std::size_t max_unscheduled_response_bytes = 16 * 1024;

/// Weight of the newest response in the mean size.
constexpr double newest_response_weight = 0.1;

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

local_target::local_target(asio::io_context& context, std::string host, header_names names,
                           const account_gate& accounts, admission::admission_settings settings,
                           double link_megabits, const telemetry::event_log& events,
                           std::function<void()> on_unreachable)
    : m_context(context), m_host(std::move(host)), m_names(std::move(names)), m_accounts(accounts),
      m_log(events), m_on_unreachable(std::move(on_unreachable)), m_admission(settings),
      m_incoming(link_megabits), m_outgoing(link_megabits, admission::outgoing_limits), m_pool(context),
      m_tick(context) {}

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
    m_accounts.prepare_for_target(call, request);
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
    const auto is_refusal = [this](const response_message& response) {
        return response.find(beast_view(m_names.not_executed)) != response.end();
    };
    // A target repeats the id of the request in its response; bytes without it belong to no request. A
    // refusal without it cannot be a copy of an earlier one if it is the first response on its connection.
    options.match = [this, is_refusal, id = call.request_id](const response_message& response,
                                                             bool first_on_connection) {
        const auto response_id = response[beast_view(m_names.request_id)];
        if (view_of(response_id) == id) {
            return response_match::own;
        }
        const bool refusal = is_refusal(response) || response.result_int() == misdirected_request_status;
        const bool first_refusal = response_id.empty() && first_on_connection && refusal;
        return first_refusal ? response_match::unidentified : response_match::foreign;
    };
    const common::endpoint address = m_instance->address;
    // The instance can be replaced during the exchange; the new one is not unreachable.
    const auto report_unreachable = [this, instance_id = m_instance->id] {
        if (m_instance && m_instance->id == instance_id) {
            m_on_unreachable();
        }
    };
    auto response = co_await m_pool.exchange(address, std::move(request), std::move(options), cancelled);
    const bool unsigned_success =
        response && http::to_status_class(response->result()) == http::status_class::successful &&
        response->find(beast_view(m_names.response_signature)) == response->end();
    if (unsigned_success) {
        response = tl::unexpected(
            exchange_error{exchange_error_kind::response_lost, "a successful response without a signature"});
    }
    if (response) {
        const bool shed = is_refusal(*response);
        if (response->result_int() == misdirected_request_status) {
            report_unreachable();
        }
        attempt.metadata.outcome = forwarding_outcome::answered;
        attempt.result = shed ? admission::call_result::shed : admission::call_result::answered;
        attempt.response = std::move(*response);
        co_return attempt;
    }
    attempt.metadata.reason = response.error().detail;
    switch (response.error().kind) {
    case exchange_error_kind::connection_refused:
        report_unreachable();
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
                                             std::optional<response_message> response) {
    const admission::admission_status status = m_admission.status();
    // A host whose link is in use has no capacity, even if its target has free slots.
    const common::steady_time now = common::steady_clock::now();
    const double link_use = std::max(m_incoming.utilization(now), m_outgoing.utilization(now));
    const std::uint32_t running = status.running_short + status.running_long;
    const auto slots_of_link = static_cast<std::uint32_t>(link_use * status.slots);
    metadata.load = balancing::piggybacked_load{status.queued_short + status.queued_long,
                                                std::max(running, slots_of_link), status.slots};
    metadata.config_version = m_config_version;
    metadata.target_sheds = m_admission.target_sheds();
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
    const auto window = m_incoming.reserve(bytes, now);
    if (!window) {
        return busy_link_response(call, bytes, window.error());
    }
    metadata.outcome = forwarding_outcome::reserved;
    metadata.window = *window;
    return make_response(std::move(metadata), std::nullopt);
}

response_message local_target::busy_link_response(const call_metadata& call, std::size_t bytes,
                                                  milliseconds wait) {
    response_metadata metadata;
    metadata.outcome = forwarding_outcome::refused;
    metadata.reason = "link_busy";
    metadata.retry_after = wait;
    m_log.write(event_number::call_not_admitted,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"reason", metadata.reason},
                 {"bytes", bytes},
                 {"retry_after", metadata.retry_after}},
                common::steady_clock::now());
    return make_response(std::move(metadata), std::nullopt);
}

response_message local_target::revoked_key_response(const call_metadata& call) {
    response_metadata metadata;
    metadata.outcome = forwarding_outcome::refused;
    metadata.reason = key_revoked_reason;
    m_log.write(event_number::call_not_admitted,
                {{"request", call.request_id},
                 {"from", call.caller_host},
                 {"service", call.service},
                 {"reason", metadata.reason},
                 {"account", call.account},
                 {"key", accounts::to_string(call.account_key)}},
                common::steady_clock::now());
    return make_response(std::move(metadata), std::nullopt);
}

/// Time until the link can carry the response to the call, if that is too long to run the call now.
std::optional<milliseconds> local_target::busy_link_wait(const call_metadata& call,
                                                         common::steady_time now) const {
    const bool large = call.work == config::work_class::long_work && call.caller_host != m_host &&
                       m_mean_long_response_bytes > max_unscheduled_response_bytes;
    return large ? m_outgoing.excessive_wait(now) : std::nullopt;
}

asio::awaitable<session_response> local_target::send_on_link(const call_metadata& call,
                                                             response_message response) {
    const std::size_t bytes = response.body().size();
    if (call.work == config::work_class::long_work) {
        const double weight = m_mean_long_response_bytes == 0 ? 1.0 : newest_response_weight;
        m_mean_long_response_bytes += (static_cast<double>(bytes) - m_mean_long_response_bytes) * weight;
    }
    session_response result;
    result.message = std::move(response);
    if (call.caller_host == m_host || bytes <= max_unscheduled_response_bytes) {
        co_return result;
    }
    const admission::transfer_window window = m_outgoing.append(bytes, common::steady_clock::now());
    if (window.begin_after.count() > 0) {
        asio::steady_timer timer(m_context, window.begin_after);
        error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
    }
    result.body_send_duration = window.duration;
    co_return result;
}

asio::awaitable<session_response> local_target::run(call_metadata call, request_message request,
                                                    cancellation_ptr cancelled) {
    const common::steady_time received = common::steady_clock::now();
    const common::steady_time deadline = received + call.time_left;
    session_response result;
    if (const auto wait = busy_link_wait(call, received)) {
        result.message =
            busy_link_response(call, static_cast<std::size_t>(m_mean_long_response_bytes), *wait);
        co_return result;
    }
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
    submission.retry = call.retry;
    submission.accepts_shedding = call.accepts_shedding;
    submission.inner = call.inner;
    submission.account = call.account;
    submission.weight = m_accounts.weight_of(call);
    submission.inherited_repeats = call.inherited_repeats_permille / 1'000.0;
    const admission::admission_id id = submission.id;
    const admission::effect decision = co_await admit(std::move(submission), cancelled);
    if (const auto* refused = std::get_if<admission::refused>(&decision)) {
        result.message = refusal_response(call, *refused, common::steady_clock::now());
        co_return result;
    }
    const common::steady_time granted = common::steady_clock::now();
    if (!m_accounts.holds_key(call)) {
        // Revoked while the call waited.
        apply(m_admission.finish(id, microseconds(0), admission::call_result::not_started, granted));
        result.message = revoked_key_response(call);
        co_return result;
    }
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
    response_message response = make_response(std::move(attempt.metadata), std::move(attempt.response));
    result = co_await send_on_link(call, std::move(response));
    co_return result;
}

} // namespace boragehollow::forwarding
