#include "boragehollow/daemon/instance_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <chrono>
#include <utility>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::chrono::milliseconds silence_check_interval{1'000};

} // namespace

instance_duty::instance_duty(admission::instance_tracker_settings settings, instance_sinks sinks,
                             std::size_t ring_size, const telemetry::event_log& events)
    : m_tracker(std::move(settings)), m_sinks(std::move(sinks)), m_events(events), m_ring(ring_size),
      m_thread("instance", [this](const std::stop_token&) { run(); }) {}

instance_duty::~instance_duty() {
    stop();
}

void instance_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void instance_duty::run() {
    while (true) {
        auto message = m_ring.pop_until(common::steady_clock::now() + silence_check_interval);
        const common::steady_time now = common::steady_clock::now();
        if (message) {
            std::visit([&](auto& concrete) { handle(concrete, now); }, *message);
        } else if (m_ring.is_closed()) {
            return;
        }
        if (m_tracker.expire_if_silent(now)) {
            m_events.emit(event_number::target_silent);
            publish_current();
        }
    }
}

void instance_duty::handle(instance_announced& message, common::steady_time now) {
    const admission::announcement_result result = m_tracker.record_announcement(message.announcement, now);
    std::visit(common::overloaded{[&](const admission::announcement_accepted& accepted) {
                                      if (accepted.changed) {
                                          publish_current();
                                      }
                                  },
                                  [&](const admission::announcement_outdated&) {
                                      m_events.emit(event_number::target_announcement_outdated,
                                                    {{"instance", message.announcement.id},
                                                     {"sequence", message.announcement.sequence}});
                                  },
                                  [&](const admission::announcement_rejected& rejected) {
                                      m_events.emit(event_number::target_announcement_invalid,
                                                    {{"instance", message.announcement.id},
                                                     {"detail", rejected.reason}});
                                  }},
               result);
    const auto* accepted = std::get_if<admission::announcement_accepted>(&result);
    if (accepted != nullptr && accepted->withdrawn) {
        m_sinks.save(m_tracker.latest_withdrawn(), message.saved);
    } else {
        message.saved.set(true);
    }
    message.reply.set(result);
}

void instance_duty::handle(const instance_departed& message, common::steady_time) {
    if (m_tracker.record_departure(message.id, message.incarnation)) {
        m_events.emit(event_number::target_left, {{"instance", message.id}, {"reason", "announced"}});
        publish_current();
    }
    m_sinks.save(m_tracker.latest_withdrawn(), message.saved);
    message.reply.set(true);
}

void instance_duty::handle(const history_restored& message, common::steady_time) {
    m_events.emit(event_number::target_history_restored, {{"withdrawn", message.withdrawn.size()}});
    if (m_tracker.restore(message.withdrawn)) {
        publish_current();
    }
    auto merged = m_tracker.latest_withdrawn();
    if (merged != message.withdrawn) {
        // Something was withdrawn and saved before the lookup, which replaced the earlier entries.
        m_sinks.save(std::move(merged), {});
    }
}

void instance_duty::handle(const instance_unreachable&, common::steady_time) {
    if (m_tracker.mark_unreachable()) {
        m_events.emit(event_number::target_left, {{"reason", "unreachable"}});
        publish_current();
    }
}

void instance_duty::handle(const silence_timeout_changed& message, common::steady_time) {
    m_tracker.set_silence_timeout(message.timeout);
}

void instance_duty::publish_current() {
    const auto current = m_tracker.current();
    if (current) {
        const bool draining = current->state == admission::target_state::draining;
        m_events.emit(draining ? event_number::target_draining : event_number::target_announced,
                      {{"instance", current->id},
                       {"service", current->service},
                       {"address", common::to_string(current->address)},
                       {"slots", current->slots}});
    }
    m_sinks.changed(current);
}

} // namespace boragehollow::daemon
