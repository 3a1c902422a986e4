#include "boragehollow/daemon/admission_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <utility>

namespace boragehollow::daemon {

namespace {

/// Policy with a long queue that a call leaves only when it gets a slot or its deadline passes.
config::admission_policy shared_fifo_policy() {
    config::admission_policy policy;
    policy.queue_length = 10'000;
    policy.queue_max_wait = std::chrono::minutes(1);
    policy.reserved_short_slots = 0;
    policy.long_threshold = std::chrono::minutes(10);
    policy.adaptive_limit = false;
    policy.order = config::fifo_queueing{};
    return policy;
}

admission::admission_settings settings_for(admission::admission_settings settings, bool shared_fifo) {
    settings.early_refusal = settings.early_refusal && !shared_fifo;
    return settings;
}

} // namespace

admission_duty::admission_duty(admission::admission_settings settings, std::size_t ring_size,
                               bool shared_fifo)
    : m_controller(settings_for(settings, shared_fifo)), m_shared_fifo(shared_fifo), m_ring(ring_size),
      m_thread("admission", [this](const std::stop_token&) { run(); }) {}

admission_duty::~admission_duty() {
    stop();
}

void admission_duty::stop() {
    m_ring.close();
    m_thread.join();
}

std::optional<admission_decision> admission_duty::submit(admission::admission_request request,
                                                         common::steady_time deadline) {
    submit_call message{std::move(request), {}};
    const auto reply = message.reply;
    if (!m_ring.try_push(admission_message(std::move(message)))) {
        return std::nullopt;
    }
    return reply.wait_until(deadline);
}

void admission_duty::run() {
    while (true) {
        const auto wakeup = m_controller.next_wakeup();
        auto message = wakeup ? m_ring.pop_until(*wakeup) : m_ring.pop();
        const common::steady_time now = common::steady_clock::now();
        if (message) {
            std::visit([&](auto& concrete) { handle(concrete, now); }, *message);
        } else if (m_ring.is_closed()) {
            return;
        }
        if (wakeup && now >= *wakeup) {
            deliver(m_controller.tick(now), now);
        }
    }
}

void admission_duty::handle(submit_call& message, common::steady_time now) {
    message.request.id = {++m_last_id};
    m_pending_replies.emplace(m_last_id, message.reply);
    if (m_shared_fifo) {
        message.request.work = config::work_class::short_work;
    }
    deliver(m_controller.submit(std::move(message.request), now), now);
}

void admission_duty::handle(const call_finished& message, common::steady_time now) {
    deliver(m_controller.finish(message.id, message.latency, message.result, now), now);
}

void admission_duty::handle(const local_target_changed& message, common::steady_time now) {
    m_service = message.target ? message.target->service : std::string();
    update_policy(now);
    deliver(m_controller.update_target(message.target, now), now);
}

void admission_duty::handle(const config_changed& message, common::steady_time now) {
    m_snapshot = message.snapshot;
    update_policy(now);
}

void admission_duty::update_policy(common::steady_time now) {
    if (!m_snapshot || m_service.empty()) {
        return;
    }
    const auto* stored = m_snapshot->find({config::resource_kind::service_policy, m_service});
    if (stored == nullptr) {
        return;
    }
    config::admission_policy policy = std::get<config::service_policy>(stored->value).admission;
    if (m_shared_fifo) {
        policy = shared_fifo_policy();
    }
    deliver(m_controller.update_policy(policy, now), now);
}

void admission_duty::handle(const start_admission_drain&, common::steady_time now) {
    deliver(m_controller.start_drain(now), now);
}

void admission_duty::handle(const query_admission& message, common::steady_time) {
    message.reply.set(m_controller.status());
}

void admission_duty::deliver(const admission::admission_controller::effects& effects,
                             common::steady_time now) {
    admission::admission_controller::effects follow_up_effects;
    for (const admission::effect& effect : effects) {
        const std::uint64_t id = std::visit([](const auto& concrete) { return concrete.id.value; }, effect);
        const auto waiting = m_pending_replies.find(id);
        if (waiting == m_pending_replies.end()) {
            continue;
        }
        const common::reply_slot<admission_decision> reply = waiting->second;
        m_pending_replies.erase(waiting);
        const auto status = m_controller.status();
        const bool delivered = std::visit(
            common::overloaded{[&](const admission::granted& granted) {
                                   return reply.set(admission_grant{granted.id, status});
                               },
                               [&](const admission::refused& refused) {
                                   reply.set(admission_refusal{refused.reason, refused.retry_after, status});
                                   return true;
                               }},
            effect);
        if (delivered) {
            continue;
        }
        // The requesting thread stopped waiting before the grant, so nothing was sent to the target.
        auto freed =
            m_controller.finish({id}, std::chrono::microseconds(0), admission::call_result::not_started, now);
        follow_up_effects.insert(follow_up_effects.end(), freed.begin(), freed.end());
    }
    if (!follow_up_effects.empty()) {
        deliver(follow_up_effects, now);
    }
}

} // namespace boragehollow::daemon
