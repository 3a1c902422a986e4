#include "boragehollow/admission/admission_controller.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

using config::work_class;

// Each queued long call adds a long wait, so their queue has a quarter of the configured length.
constexpr std::uint32_t long_queue_divisor = 4;
// Entries of a full table expire one by one, so a later retry can succeed.
constexpr milliseconds table_full_retry_after{1'000};

milliseconds round_up_to_milliseconds(microseconds value) {
    return std::chrono::ceil<milliseconds>(value);
}

} // namespace

admission_controller::admission_controller(admission_settings settings)
    : m_settings(settings), m_repeats(settings.repeats),
      m_call_ids(settings.max_call_ids, settings.longest_deadline),
      m_keys(settings.max_keys, settings.key_window) {}

admission_controller::effects admission_controller::submit(admission_request request, steady_time now) {
    effects out;
    reclassify_overdue(now);
    refuse_expired(now, out);
    // Checked before the state of the target: a refusal as draining states that the call has not run, but a
    // duplicate may have run.
    if (const auto reason = duplicate_refusal(request, now)) {
        refuse(request, *reason, milliseconds(0), out);
        return out;
    }
    if (const auto reason = target_refusal(request.service)) {
        refuse(request, *reason, milliseconds(0), out);
        return out;
    }
    if (request.deadline <= now) {
        refuse(request, refusal_reason::deadline_passed, milliseconds(0), out);
        return out;
    }
    if (!request.idempotent && m_call_ids.full(now)) {
        refuse(request, refusal_reason::call_table_full, table_full_retry_after, out);
        return out;
    }
    if (request.idempotency_key) {
        m_keys.extend_retention(std::chrono::ceil<milliseconds>(request.deadline - now));
    }
    if (request.idempotency_key && m_keys.full(now)) {
        refuse(request, refusal_reason::key_table_full, table_full_retry_after, out);
        return out;
    }
    if (refuse_excess_retry(request, now, out)) {
        return out;
    }
    if (!request.accepts_shedding && m_shedding.diverts_next_call()) {
        refuse(request, refusal_reason::target_sheds, milliseconds(0), out);
        return out;
    }
    if (queue_of(request.work).empty() && may_run(request.work)) {
        start_call(std::move(request), now, out);
        return out;
    }
    enqueue(std::move(request), now, out);
    grant_waiting(now, out);
    return out;
}

std::optional<refusal_reason> admission_controller::target_refusal(const std::string& service) const {
    if (m_draining) {
        return refusal_reason::draining;
    }
    if (!m_target) {
        return refusal_reason::no_target;
    }
    if (m_target->service != service) {
        return refusal_reason::wrong_service;
    }
    switch (m_target->state) {
    case target_state::starting:
        return refusal_reason::target_starting;
    case target_state::draining:
        return refusal_reason::draining;
    case target_state::ready:
        return std::nullopt;
    }
    return refusal_reason::no_target;
}

std::optional<refusal_reason> admission_controller::duplicate_refusal(const admission_request& request,
                                                                      steady_time now) {
    if (m_call_ids.contains(request.call_id, now)) {
        return refusal_reason::duplicate_call;
    }
    if (request.idempotency_key && m_keys.contains(*request.idempotency_key, now)) {
        return refusal_reason::duplicate_key;
    }
    return std::nullopt;
}

std::uint32_t admission_controller::capacity() const {
    const std::uint32_t slots = m_target ? m_target->slots : 0;
    return m_policy.adaptive_limit ? std::min(slots, m_limit.value()) : slots;
}

std::uint32_t admission_controller::reserved_slots() const {
    const std::uint32_t slots = m_target ? m_target->slots : 0;
    return slots == 0 ? 0 : std::min(m_policy.reserved_short_slots, slots - 1);
}

std::uint32_t admission_controller::max_long_calls() const {
    const std::uint32_t usable = capacity();
    return usable > reserved_slots() ? usable - reserved_slots() : std::min(usable, 1U);
}

bool admission_controller::may_run(work_class work) const {
    const std::uint32_t running = m_running_short + m_running_long;
    if (work == work_class::long_work) {
        return running < capacity() && m_running_long < max_long_calls();
    }
    // A lowered adaptive limit must not block free reserved slots while long calls occupy the others.
    const bool reserved_slot_free =
        m_target && m_running_short < reserved_slots() && running < m_target->slots;
    return running < capacity() || reserved_slot_free;
}

std::optional<work_class> admission_controller::next_work_class() const {
    const bool short_ready = !m_short_queue.empty() && may_run(work_class::short_work);
    const bool long_ready = !m_long_queue.empty() && may_run(work_class::long_work);
    if (!short_ready && !long_ready) {
        return std::nullopt;
    }
    if (short_ready != long_ready) {
        return short_ready ? work_class::short_work : work_class::long_work;
    }
    if (m_running_short < reserved_slots()) {
        return work_class::short_work;
    }
    // Unreserved slots go to the call that waits longest (or has the higher priority), so that short work
    // cannot starve long work.
    return m_short_queue.precedes(m_long_queue) ? work_class::short_work : work_class::long_work;
}

microseconds admission_controller::own_service_time(const admission_request& request) const {
    return m_settings.service_times_by_kind ? m_service_times.mean_of_kind(request)
                                            : m_service_times.mean(request.work);
}

microseconds admission_controller::expected_wait(const admission_request& request, steady_time now) const {
    const bool is_long = request.work == work_class::long_work;
    const std::uint32_t usable = capacity();
    const std::uint32_t short_slots = std::max(usable - std::min(usable, m_running_long), reserved_slots());
    const std::uint32_t slots = std::max(1U, is_long ? max_long_calls() : short_slots);
    const std::size_t ahead = queue_of(request.work).calls_ahead_of(request, now, own_service_time(request));
    return m_service_times.mean(request.work) * (ahead + 1) / slots;
}

void admission_controller::enqueue(admission_request request, steady_time now, effects& out) {
    // A call that cannot finish before its deadline would occupy a slot for a response that nobody receives.
    const microseconds service_time = m_settings.early_refusal ? own_service_time(request) : microseconds(0);
    const steady_time expires = std::min(request.deadline - service_time, now + m_policy.queue_max_wait);
    const microseconds wait = expected_wait(request, now);
    const bool misses_soft_deadline =
        request.soft_deadline && !request.accepts_late && now + wait + service_time > *request.soft_deadline;
    if (m_settings.early_refusal && (now + wait > expires || misses_soft_deadline)) {
        refuse(request, refusal_reason::expected_wait, round_up_to_milliseconds(wait), out);
        return;
    }
    if (!make_queue_room(request, now, out)) {
        refuse(request, refusal_reason::queue_full, std::max(milliseconds(1), round_up_to_milliseconds(wait)),
               out);
        return;
    }
    if (!request.idempotent || !m_call_ids.full(now)) {
        m_call_ids.hold(request.call_id);
    }
    if (request.idempotency_key) {
        m_keys.hold(*request.idempotency_key);
    }
    call_queue& queue = queue_of(request.work);
    const auto own_time = m_settings.service_times_by_kind ? std::optional(service_time) : std::nullopt;
    queue.push({std::move(request), now, expires, own_time});
}

bool admission_controller::make_queue_room(const admission_request& request, steady_time now, effects& out) {
    call_queue& queue = queue_of(request.work);
    std::size_t max_queued = m_policy.queue_length;
    if (request.work == work_class::long_work && max_queued > 0) {
        max_queued = std::max<std::size_t>(1, max_queued / long_queue_divisor);
    }
    if (queue.size() < max_queued) {
        return true;
    }
    const std::optional<waiting_call> evicted = max_queued == 0 ? std::nullopt : queue.evict_for(request);
    if (!evicted) {
        return false;
    }
    const milliseconds retry_after = round_up_to_milliseconds(expected_wait(evicted->request, now));
    refuse_queued(evicted->request, refusal_reason::queue_full, std::max(milliseconds(1), retry_after), out);
    return true;
}

bool admission_controller::refuse_excess_retry(const admission_request& request, steady_time now,
                                               effects& out) {
    if (!request.retry || m_repeats.allows_retry(now)) {
        return false;
    }
    refuse(request, refusal_reason::retry_limit, milliseconds(0), out);
    return true;
}

void admission_controller::start_call(admission_request request, steady_time now, effects& out) {
    if (request.retry) {
        m_repeats.record_retry(now);
    } else {
        m_repeats.record_first(request.inherited_repeats, now);
    }
    const bool is_long = request.work == work_class::long_work;
    if (!request.idempotent || !m_call_ids.full(now)) {
        m_call_ids.hold(request.call_id);
    }
    if (request.idempotency_key) {
        m_keys.hold(*request.idempotency_key);
    }
    if (is_long) {
        ++m_running_long;
    } else {
        ++m_running_short;
        m_short_starts.emplace_back(now, request.id.value);
    }
    ++m_counters.granted;
    out.emplace_back(granted{request.id, request.call_id});
    const call_kind kind = kind_of(request);
    m_running.emplace(request.id.value,
                      running_call{std::move(request.call_id), std::move(request.idempotency_key),
                                   request.idempotent, is_long,
                                   request.retry ? 1.0 : request.inherited_repeats, now, kind});
}

admission_controller::effects admission_controller::finish(admission_id id, microseconds latency,
                                                           call_result result, steady_time now) {
    effects out;
    reclassify_overdue(now);
    const auto found = m_running.find(id.value);
    if (found == m_running.end()) {
        return out;
    }
    const running_call call = std::move(found->second);
    m_running.erase(found);
    const std::uint32_t in_use = m_running_short + m_running_long;
    (call.counts_as_long ? m_running_long : m_running_short) -= 1;
    retire_ids(call, result, now);
    update_estimates(call, latency, result, in_use, now);
    grant_waiting(now, out);
    return out;
}

void admission_controller::retire_ids(const running_call& call, call_result result, steady_time now) {
    const bool not_started = result == call_result::not_started;
    if (call.idempotent || not_started) {
        m_call_ids.forget(call.call_id);
    } else {
        m_call_ids.retain(call.call_id, now);
    }
    if (!call.key) {
        return;
    }
    if (not_started) {
        m_keys.forget(*call.key);
    } else {
        m_keys.retain(*call.key, now);
    }
}

void admission_controller::update_estimates(const running_call& call, microseconds latency,
                                            call_result result, std::uint32_t in_use, steady_time now) {
    if (result == call_result::shed) {
        m_limit.observe_shed();
        m_shedding.record(true);
        return;
    }
    if (result != call_result::answered) {
        return;
    }
    m_shedding.record(false);
    m_service_times.add(call.kind, call.counts_as_long ? work_class::long_work : work_class::short_work,
                        latency);
    if (!call.counts_as_long) {
        m_limit.observe(latency, in_use, now);
    }
}

admission_controller::effects admission_controller::cancel(admission_id id, steady_time now) {
    effects out;
    for (call_queue* queue : {&m_short_queue, &m_long_queue}) {
        const std::optional<waiting_call> waiting = queue->remove(id);
        if (waiting) {
            release_ids(waiting->request);
            return out;
        }
    }
    return finish(id, microseconds(0), call_result::cancelled, now);
}

admission_controller::effects admission_controller::update_target(std::optional<local_target> target,
                                                                  steady_time now) {
    effects out;
    reclassify_overdue(now);
    const bool other_service = !target || !m_target || target->service != m_target->service;
    m_target = std::move(target);
    if (other_service) {
        m_shedding.reset();
        m_limit = adaptive_limit();
        m_service_times.reset();
    }
    set_limit_bounds();
    refuse_unrunnable(out);
    grant_waiting(now, out);
    return out;
}

admission_controller::effects admission_controller::update_policy(const config::admission_policy& policy,
                                                                  steady_time now) {
    effects out;
    m_policy = policy;
    m_short_queue.set_order(policy.order);
    m_long_queue.set_order(policy.order);
    set_limit_bounds();
    reclassify_overdue(now);
    grant_waiting(now, out);
    return out;
}

void admission_controller::set_limit_bounds() {
    if (m_target) {
        // The limit always allows one long call and the reserved short calls.
        m_limit.set_bounds(reserved_slots() + 1.0, m_target->slots);
    }
}

admission_controller::effects admission_controller::start_drain(steady_time now) {
    effects out;
    m_draining = true;
    reclassify_overdue(now);
    refuse_unrunnable(out);
    return out;
}

admission_controller::effects admission_controller::tick(steady_time now) {
    effects out;
    reclassify_overdue(now);
    grant_waiting(now, out);
    return out;
}

void admission_controller::refuse_expired(steady_time now, effects& out) {
    for (call_queue* queue : {&m_short_queue, &m_long_queue}) {
        for (const waiting_call& call : queue->remove_expired(now)) {
            const bool deadline_passed = call.request.deadline <= now;
            refuse_queued(call.request,
                          deadline_passed ? refusal_reason::deadline_passed : refusal_reason::queue_timeout,
                          milliseconds(0), out);
        }
    }
}

void admission_controller::refuse_unrunnable(effects& out) {
    for (call_queue* queue : {&m_short_queue, &m_long_queue}) {
        const auto blocked = [this](const admission_request& request) {
            return target_refusal(request.service).has_value();
        };
        for (const waiting_call& call : queue->remove_if(blocked)) {
            refuse_queued(call.request, *target_refusal(call.request.service), milliseconds(0), out);
        }
    }
}

void admission_controller::reclassify_overdue(steady_time now) {
    while (!m_short_starts.empty()) {
        const auto [started, number] = m_short_starts.front();
        const auto found = m_running.find(number);
        if (found == m_running.end()) {
            m_short_starts.pop_front();
            continue;
        }
        if (now - started < m_policy.long_threshold) {
            return;
        }
        m_short_starts.pop_front();
        found->second.counts_as_long = true;
        --m_running_short;
        ++m_running_long;
        ++m_counters.reclassified;
    }
}

void admission_controller::grant_waiting(steady_time now, effects& out) {
    // Expiry is checked on each grant: after a process pause the queue holds calls whose callers have
    // disconnected.
    refuse_expired(now, out);
    while (const std::optional<work_class> work = next_work_class()) {
        admission_request request = queue_of(*work).pop(now, m_service_times.mean(*work)).request;
        // Other retries may have used up the limit while this one waited.
        if (request.retry && !m_repeats.allows_retry(now)) {
            refuse_queued(request, refusal_reason::retry_limit, milliseconds(0), out);
            continue;
        }
        start_call(std::move(request), now, out);
    }
}

std::optional<steady_time> admission_controller::next_wakeup() const {
    std::optional<steady_time> earliest;
    const auto consider = [&earliest](std::optional<steady_time> time) {
        if (time && (!earliest || *time < *earliest)) {
            earliest = time;
        }
    };
    consider(m_short_queue.earliest_expiry());
    consider(m_long_queue.earliest_expiry());
    if (!m_short_starts.empty()) {
        consider(m_short_starts.front().first + m_policy.long_threshold);
    }
    return earliest;
}

void admission_controller::refuse(const admission_request& request, refusal_reason reason,
                                  milliseconds retry_after, effects& out) {
    ++m_counters.refused.at(static_cast<std::size_t>(reason));
    out.emplace_back(refused{request.id, request.call_id, reason, retry_after});
}

void admission_controller::refuse_queued(const admission_request& request, refusal_reason reason,
                                         milliseconds retry_after, effects& out) {
    release_ids(request);
    refuse(request, reason, retry_after, out);
}

void admission_controller::release_ids(const admission_request& request) {
    m_call_ids.forget(request.call_id);
    if (request.idempotency_key) {
        m_keys.forget(*request.idempotency_key);
    }
}

call_queue& admission_controller::queue_of(work_class work) {
    return work == work_class::long_work ? m_long_queue : m_short_queue;
}

const call_queue& admission_controller::queue_of(work_class work) const {
    return work == work_class::long_work ? m_long_queue : m_short_queue;
}

double admission_controller::repeated_share() const {
    if (m_running.empty()) {
        return 0;
    }
    double repeated = 0;
    for (const auto& [id, call] : m_running) {
        repeated += call.repeated;
    }
    return repeated / static_cast<double>(m_running.size());
}

admission_status admission_controller::status() const {
    admission_status status = m_counters;
    status.slots = m_target ? m_target->slots : 0;
    status.limit = capacity();
    status.running_short = m_running_short;
    status.running_long = m_running_long;
    status.queued_short = static_cast<std::uint32_t>(m_short_queue.size());
    status.queued_long = static_cast<std::uint32_t>(m_long_queue.size());
    status.mean_service_time = m_service_times.mean(work_class::short_work);
    status.call_ids = m_call_ids.size();
    status.keys = m_keys.size();
    return status;
}

} // namespace boragehollow::admission
