#include "boragehollow/admission/admission_controller.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

using config::work_class;

// Weight of the newest service time in the running mean.
constexpr double mean_weight = 0.1;
// Long calls stay long in the queue; their share of its room is small so that they cannot fill it.
constexpr std::uint32_t long_queue_share = 4;
// Entries leave a full table one by one, so that a later try can find room.
constexpr milliseconds table_full_advice{1'000};

void add_to_mean(common::fractional_microseconds& mean, microseconds sample) {
    const common::fractional_microseconds value(sample);
    mean = mean.count() == 0 ? value : mean + (value - mean) * mean_weight;
}

milliseconds round_up(microseconds value) {
    return std::chrono::ceil<milliseconds>(value);
}

} // namespace

admission_controller::admission_controller(admission_settings settings)
    : m_settings(settings), m_call_ids(settings.max_call_ids, settings.longest_deadline),
      m_keys(settings.max_keys, settings.key_window) {}

admission_controller::effects admission_controller::submit(admission_request request, steady_time now) {
    effects out;
    reclassify(now);
    refuse_expired(now, out);
    // A duplicate is reported as such even when the target is leaving: "not run" would be wrong for it.
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
        refuse(request, refusal_reason::call_table_full, table_full_advice, out);
        return out;
    }
    if (request.idempotency_key && m_keys.full(now)) {
        refuse(request, refusal_reason::key_table_full, table_full_advice, out);
        return out;
    }
    if (queue_of(request.work).empty() && may_run(request.work)) {
        begin(std::move(request), now, out);
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

std::uint32_t admission_controller::reserved() const {
    const std::uint32_t slots = m_target ? m_target->slots : 0;
    return slots == 0 ? 0 : std::min(m_policy.reserved_short_slots, slots - 1);
}

std::uint32_t admission_controller::long_bound() const {
    const std::uint32_t usable = capacity();
    return usable > reserved() ? usable - reserved() : std::min(usable, 1U);
}

bool admission_controller::may_run(work_class work) const {
    const std::uint32_t running = m_running_short + m_running_long;
    if (work == work_class::long_work) {
        return running < capacity() && m_running_long < long_bound();
    }
    // A lowered limit must not take the reserved slots away while long calls hold the rest.
    const bool reserved_free = m_target && m_running_short < reserved() && running < m_target->slots;
    return running < capacity() || reserved_free;
}

std::optional<work_class> admission_controller::next_class() const {
    const bool short_ready = !m_short_queue.empty() && may_run(work_class::short_work);
    const bool long_ready = !m_long_queue.empty() && may_run(work_class::long_work);
    if (!short_ready && !long_ready) {
        return std::nullopt;
    }
    if (short_ready != long_ready) {
        return short_ready ? work_class::short_work : work_class::long_work;
    }
    if (m_running_short < reserved()) {
        return work_class::short_work;
    }
    // Slots that are not reserved go to whoever waits longest, so that short work cannot starve long work.
    return m_short_queue.goes_before(m_long_queue) ? work_class::short_work : work_class::long_work;
}

microseconds admission_controller::mean_service(work_class work) const {
    return std::chrono::duration_cast<microseconds>(work == work_class::long_work ? m_long_mean
                                                                                  : m_short_mean);
}

microseconds admission_controller::expected_wait(const admission_request& request, steady_time now) const {
    const bool is_long = request.work == work_class::long_work;
    const std::uint32_t usable = capacity();
    const std::uint32_t left_to_short = std::max(usable - std::min(usable, m_running_long), reserved());
    const std::uint32_t slots = std::max(1U, is_long ? long_bound() : left_to_short);
    const microseconds mean = mean_service(request.work);
    const std::size_t ahead = queue_of(request.work).ahead_of(request, now, mean);
    return mean * (ahead + 1) / slots;
}

void admission_controller::enqueue(admission_request request, steady_time now, effects& out) {
    // A call that starts too late to end before its deadline takes a slot and answers nobody.
    const microseconds service = m_settings.early_refusal ? mean_service(request.work) : microseconds(0);
    const steady_time expires = std::min(request.deadline - service, now + m_policy.queue_max_wait);
    const microseconds wait = expected_wait(request, now);
    const bool misses_aim =
        request.soft_deadline && !request.accepts_late && now + wait + service > *request.soft_deadline;
    if (m_settings.early_refusal && (now + wait > expires || misses_aim)) {
        refuse(request, refusal_reason::expected_wait, round_up(wait), out);
        return;
    }
    if (!make_room(request, now, out)) {
        refuse(request, refusal_reason::queue_full, std::max(milliseconds(1), round_up(wait)), out);
        return;
    }
    if (!request.idempotent || !m_call_ids.full(now)) {
        m_call_ids.hold(request.call_id);
    }
    if (request.idempotency_key) {
        m_keys.hold(*request.idempotency_key);
    }
    call_queue& queue = queue_of(request.work);
    queue.push({std::move(request), now, expires});
}

bool admission_controller::make_room(const admission_request& request, steady_time now, effects& out) {
    call_queue& queue = queue_of(request.work);
    std::size_t room = m_policy.queue_length;
    if (request.work == work_class::long_work && room > 0) {
        room = std::max<std::size_t>(1, room / long_queue_share);
    }
    if (queue.size() < room) {
        return true;
    }
    const std::optional<waiting_call> displaced = room == 0 ? std::nullopt : queue.displace_for(request);
    if (!displaced) {
        return false;
    }
    const milliseconds advice = round_up(expected_wait(displaced->request, now));
    drop_queued(displaced->request, refusal_reason::queue_full, std::max(milliseconds(1), advice), out);
    return true;
}

void admission_controller::begin(admission_request request, steady_time now, effects& out) {
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
    m_running.emplace(request.id.value,
                      running_call{std::move(request.call_id), std::move(request.idempotency_key),
                                   request.idempotent, is_long, now});
}

admission_controller::effects admission_controller::finish(admission_id id, microseconds latency,
                                                           call_result result, steady_time now) {
    effects out;
    reclassify(now);
    const auto found = m_running.find(id.value);
    if (found == m_running.end()) {
        return out;
    }
    const running_call call = std::move(found->second);
    m_running.erase(found);
    const std::uint32_t in_use = m_running_short + m_running_long;
    (call.counts_long ? m_running_long : m_running_short) -= 1;
    end_ids(call, result, now);
    learn(call, latency, result, in_use, now);
    grant_waiting(now, out);
    return out;
}

void admission_controller::end_ids(const running_call& call, call_result result, steady_time now) {
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

void admission_controller::learn(const running_call& call, microseconds latency, call_result result,
                                 std::uint32_t in_use, steady_time now) {
    if (result == call_result::shed) {
        m_limit.observe_shed();
        return;
    }
    if (result != call_result::answered) {
        return;
    }
    add_to_mean(call.counts_long ? m_long_mean : m_short_mean, latency);
    if (!call.counts_long) {
        m_limit.observe(latency, in_use, now);
    }
}

admission_controller::effects admission_controller::cancel(admission_id id, steady_time now) {
    effects out;
    for (call_queue* queue : {&m_short_queue, &m_long_queue}) {
        const std::optional<waiting_call> waiting = queue->remove(id);
        if (waiting) {
            forget_ids(waiting->request);
            return out;
        }
    }
    return finish(id, microseconds(0), call_result::cancelled, now);
}

admission_controller::effects admission_controller::update_target(std::optional<local_target> target,
                                                                  steady_time now) {
    effects out;
    reclassify(now);
    const bool other_service = !target || !m_target || target->service != m_target->service;
    m_target = std::move(target);
    if (other_service) {
        m_limit = adaptive_limit();
        m_short_mean = {};
        m_long_mean = {};
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
    reclassify(now);
    grant_waiting(now, out);
    return out;
}

void admission_controller::set_limit_bounds() {
    if (m_target) {
        // One long call and the reserved short ones always fit below the limit.
        m_limit.set_bounds(reserved() + 1.0, m_target->slots);
    }
}

admission_controller::effects admission_controller::start_drain(steady_time now) {
    effects out;
    m_draining = true;
    reclassify(now);
    refuse_unrunnable(out);
    return out;
}

admission_controller::effects admission_controller::tick(steady_time now) {
    effects out;
    reclassify(now);
    grant_waiting(now, out);
    return out;
}

void admission_controller::refuse_expired(steady_time now, effects& out) {
    for (call_queue* queue : {&m_short_queue, &m_long_queue}) {
        for (const waiting_call& call : queue->remove_expired(now)) {
            const bool late = call.request.deadline <= now;
            drop_queued(call.request, late ? refusal_reason::deadline_passed : refusal_reason::queue_timeout,
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
            drop_queued(call.request, *target_refusal(call.request.service), milliseconds(0), out);
        }
    }
}

void admission_controller::reclassify(steady_time now) {
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
        found->second.counts_long = true;
        --m_running_short;
        ++m_running_long;
        ++m_counters.reclassified;
    }
}

void admission_controller::grant_waiting(steady_time now, effects& out) {
    // Checked at the time of the grant too: after a pause the queue holds calls whose callers are gone.
    refuse_expired(now, out);
    while (const std::optional<work_class> work = next_class()) {
        begin(queue_of(*work).pop(now, mean_service(*work)).request, now, out);
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

void admission_controller::drop_queued(const admission_request& request, refusal_reason reason,
                                       milliseconds retry_after, effects& out) {
    forget_ids(request);
    refuse(request, reason, retry_after, out);
}

void admission_controller::forget_ids(const admission_request& request) {
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

admission_status admission_controller::status() const {
    admission_status status = m_counters;
    status.slots = m_target ? m_target->slots : 0;
    status.limit = capacity();
    status.running_short = m_running_short;
    status.running_long = m_running_long;
    status.queued_short = static_cast<std::uint32_t>(m_short_queue.size());
    status.queued_long = static_cast<std::uint32_t>(m_long_queue.size());
    status.call_ids = m_call_ids.size();
    status.keys = m_keys.size();
    return status;
}

} // namespace boragehollow::admission
