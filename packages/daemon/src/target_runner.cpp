#include "boragehollow/daemon/target_runner.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace boragehollow::daemon {

namespace {

using peer::call_failure;
using peer::call_outcome;

/// Response bodies up to this size are forwarded in one message together with the head.
constexpr std::size_t transfer_chunk = 65'536;

/// Long work has no deadline after it has started; this limits the wait for its response head.
constexpr std::chrono::hours long_work_timeout{24};

/// Time for the refusal of a queued call to arrive after its deadline.
constexpr std::chrono::milliseconds reply_grace_period{50};

constexpr std::chrono::seconds report_timeout{5};

peer::target_load load_of(const admission::admission_status& status) {
    return {status.queued_short + status.queued_long, status.running_short + status.running_long,
            status.slots};
}

void fail(const reply_sink& sink, call_failure failure,
          std::optional<peer::target_load> load = std::nullopt) {
    peer::call_reply_part part;
    part.failure = std::move(failure);
    part.load = load;
    sink(part);
}

call_failure not_run(std::string reason, std::string detail) {
    return {call_outcome::not_run, std::move(reason), std::move(detail), {}};
}

call_failure unknown(std::string reason, std::string detail) {
    return {call_outcome::unknown, std::move(reason), std::move(detail), {}};
}

call_failure refusal_failure(const admission_refusal& refusal) {
    const call_outcome outcome =
        admission::outcome_unknown(refusal.reason) ? call_outcome::unknown : call_outcome::not_run;
    return {outcome, std::string(admission::to_string(refusal.reason)), "refused by the target's daemon",
            refusal.retry_after};
}

web::header_list headers_for_target(const peer::call_head& head, std::chrono::milliseconds remaining) {
    web::header_list headers;
    headers.reserve(head.headers.size() + 3);
    for (const auto& [name, value] : head.headers) {
        headers.push_back({name, value});
    }
    headers.push_back({"boragehollow-call-id", head.call_id});
    headers.push_back(
        {"boragehollow-deadline-ms", std::to_string(std::max<std::int64_t>(1, remaining.count()))});
    return headers;
}

peer::reply_head reply_head_of(const web::client_response_head& head) {
    peer::reply_head reply;
    reply.status = head.status;
    reply.content_length = head.content_length;
    for (const web::header& entry : web::end_to_end_headers(head.headers)) {
        reply.headers.emplace_back(entry.name, entry.value);
    }
    return reply;
}

std::chrono::milliseconds until(common::steady_time deadline) {
    return std::chrono::ceil<std::chrono::milliseconds>(deadline - common::steady_clock::now());
}

} // namespace

struct target_runner::running_call {
    const peer::call_head& head;
    peer::call_request_part first;
    web::client_connection connection;
    common::steady_time
        deadline; ///< Deadline of the whole call, or `long_work_timeout` from the grant for long work.
    bool response_started = false;
};

target_runner::target_runner(target_runner_settings settings, admission_duty& admission,
                             telemetry::metric_registry& metrics)
    : m_settings(settings), m_admission(admission), m_idle_connections(settings.max_idle_connections),
      m_granted(metrics.add_counter("boragehollow_admission_granted_total", "Calls granted a slot")),
      m_refused(metrics.add_counter("boragehollow_admission_refused_total", "Calls refused as not run")),
      m_broken(metrics.add_counter("boragehollow_target_broken_total", "Calls without a whole response")),
      m_wait(metrics.add_latency("boragehollow_admission_wait_seconds", "Wait for a slot")),
      m_service_time(metrics.add_latency("boragehollow_target_service_seconds", "Grant to end of response")) {
}

void target_runner::set_target(std::optional<common::endpoint> target) {
    m_target.store(target ? std::make_shared<const target_address>(target_address{std::move(*target)})
                          : nullptr);
}

std::optional<call_failure> target_runner::deadline_failure(const peer::call_head& head,
                                                            common::steady_time deadline) const {
    // The wall clock includes the time for which this process was suspended before it read the message.
    if (common::steady_clock::now() >= deadline || common::wall_now() >= head.deadline) {
        return not_run("deadline_passed", "the deadline passed before the call was started");
    }
    return std::nullopt;
}

void target_runner::run(const peer::call_head& head, peer::call_request_part first,
                        const request_source& source, const reply_sink& sink) {
    const common::steady_time received = common::steady_clock::now();
    const common::steady_time deadline = received + head.remaining;
    if (auto failure = deadline_failure(head, deadline)) {
        m_refused.add();
        fail(sink, std::move(*failure));
        return;
    }
    admission::admission_request request;
    request.call_id = head.call_id;
    request.service = head.service;
    request.caller = head.caller;
    request.work = head.work;
    request.idempotent = head.idempotent;
    request.idempotency_key = head.idempotency_key;
    request.deadline = deadline;
    const auto decision = m_admission.submit(std::move(request), deadline + reply_grace_period);
    if (!decision) {
        m_refused.add();
        fail(sink, not_run("daemon_busy", "no admission decision before the deadline"));
        return;
    }
    if (const auto* refusal = std::get_if<admission_refusal>(&*decision)) {
        m_refused.add();
        fail(sink, refusal_failure(*refusal), load_of(refusal->status));
        return;
    }
    const auto& grant = std::get<admission_grant>(*decision);
    const common::steady_time granted = common::steady_clock::now();
    m_granted.add();
    m_wait.record(granted - received, granted);

    admission::call_result result = admission::call_result::not_started;
    const auto release_slot = [&] {
        const auto latency =
            std::chrono::duration_cast<std::chrono::microseconds>(common::steady_clock::now() - granted);
        m_service_time.record(latency, granted + latency);
        // A lost report would leak the slot, so this waits for room.
        m_admission.ring().push_until(call_finished{grant.id, latency, result},
                                      common::steady_clock::now() + report_timeout);
    };
    if (auto failure = deadline_failure(head, deadline)) {
        release_slot();
        fail(sink, std::move(*failure), load_of(grant.status));
        return;
    }
    call_failure connect_failure;
    auto connection = acquire_connection(connect_failure);
    if (!connection) {
        release_slot();
        fail(sink, std::move(connect_failure), load_of(grant.status));
        return;
    }
    const bool is_long = head.work == config::work_class::long_work;
    if (!first.end || is_long) {
        // Reports the admission to the sender, which then sends the rest of the body and, for long work,
        // stops enforcing the deadline.
        peer::call_reply_part admitted;
        admitted.load = load_of(grant.status);
        sink(admitted);
    }
    running_call call{head, std::move(first), std::move(*connection),
                      is_long ? granted + long_work_timeout : deadline, false};
    result = transfer(call, source, sink);
    if (result == admission::call_result::failed) {
        m_broken.add();
    }
    if (call.connection.reusable()) {
        m_idle_connections.try_push(std::move(call.connection));
    }
    release_slot();
}

std::optional<web::client_connection> target_runner::acquire_connection(call_failure& failure) {
    const auto target = m_target.load();
    if (!target) {
        failure = not_run("no_target", "no target is announced on this host");
        return std::nullopt;
    }
    const common::steady_time now = common::steady_clock::now();
    while (auto idle = m_idle_connections.pop_until(now)) {
        if (now - idle->last_used() <= m_settings.max_idle_time && idle->server() == target->endpoint) {
            return idle;
        }
    }
    auto fresh = web::client_connection::connect(target->endpoint);
    if (!fresh) {
        failure = not_run("target_unreachable", fresh.error().detail);
        return std::nullopt;
    }
    return std::move(*fresh);
}

admission::call_result target_runner::transfer(running_call& call, const request_source& source,
                                               const reply_sink& sink) {
    const auto sent = call.connection.send_request(
        call.head.method, call.head.target_path, headers_for_target(call.head, until(call.deadline)),
        call.head.has_body, call.head.content_length, call.first.data);
    if (!sent) {
        fail(sink, unknown("send_failed", sent.error().detail));
        return admission::call_result::failed;
    }
    if (!send_body(call, source)) {
        fail(sink, unknown("request_broken", "the request body ended early or the target stopped reading"));
        return admission::call_result::cancelled;
    }
    return forward_response(call, sink);
}

bool target_runner::send_body(running_call& call, const request_source& source) {
    bool complete = call.first.end;
    while (!complete) {
        auto part = source();
        if (!part) {
            return false;
        }
        if (!call.connection.write(part->data)) {
            return false;
        }
        complete = part->end;
    }
    return call.connection.finish_request().has_value();
}

admission::call_result target_runner::forward_response(running_call& call, const reply_sink& sink) {
    auto head = call.connection.read_head(until(call.deadline));
    if (!head) {
        fail(sink, unknown(std::string(web::to_string(head.error().kind)), head.error().detail));
        return admission::call_result::failed;
    }
    const int status = head->status;
    peer::call_reply_part part;
    part.head = reply_head_of(*head);
    const bool buffer_whole_response = head->content_length && *head->content_length <= transfer_chunk;
    if (!buffer_whole_response) {
        // The first byte of the body may be delayed, so the head is forwarded without waiting for it.
        if (!sink(part)) {
            return admission::call_result::cancelled;
        }
        part = {};
    }
    // Allocated on the heap, since local calls run on CivetWeb's worker threads, whose stacks have 100 KB.
    std::vector<char> buffer(head->content_length
                                 ? std::min<std::size_t>(*head->content_length, transfer_chunk) + 1
                                 : transfer_chunk);
    while (true) {
        const auto count = call.connection.read(buffer, call.deadline);
        if (!count) {
            fail(sink, unknown(std::string(web::to_string(count.error().kind)), count.error().detail));
            return admission::call_result::failed;
        }
        if (*count > 0) {
            part.data.append(buffer.data(), *count);
            if (buffer_whole_response) {
                continue;
            }
        }
        part.end = *count == 0;
        if (!sink(part)) {
            return admission::call_result::cancelled;
        }
        if (part.end) {
            break;
        }
        part = {};
    }
    constexpr int service_unavailable = 503;
    return status == service_unavailable ? admission::call_result::shed : admission::call_result::answered;
}

} // namespace boragehollow::daemon
