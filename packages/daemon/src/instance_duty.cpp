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
    message.reply.set({result, progress_of_drain(message.announcement, result)});
}

std::optional<common::save_progress>
instance_duty::progress_of_drain(const admission::instance_announcement& announcement,
                                 const admission::announcement_result& result) {
    const auto* accepted = std::get_if<admission::announcement_accepted>(&result);
    if (accepted == nullptr || announcement.state != admission::target_state::draining) {
        return std::nullopt;
    }
    // A target repeats the announcement until it is acknowledged.
    if (accepted->withdrawn || !m_saved.succeeded()) {
        save_withdrawn();
    }
    return m_saved;
}

void instance_duty::handle(const instance_departed& message, common::steady_time) {
    if (m_tracker.record_departure(message.id, message.incarnation)) {
        m_events.emit(event_number::target_left, {{"instance", message.id}, {"reason", "announced"}});
        publish_current();
    }
    save_withdrawn();
    message.reply.set(m_saved);
}

void instance_duty::handle(const history_restored& message, common::steady_time) {
    const bool from_log = message.source == history_source::log;
    bool& told = from_log ? m_log_told : m_mesh_told;
    if (!std::exchange(told, true)) {
        m_events.emit(event_number::target_history_restored,
                      {{"withdrawn", message.withdrawn.size()}, {"source", from_log ? "log" : "mesh"}});
    }
    bool changed = m_tracker.restore(message.withdrawn);
    if (m_log_told && m_mesh_told) {
        changed = m_tracker.complete_history() || changed;
    }
    if (changed) {
        publish_current();
    }
    if (from_log) {
        m_last_saved = message.withdrawn;
    }
    if (m_tracker.latest_withdrawn() != m_last_saved) {
        save_withdrawn();
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

void instance_duty::save_withdrawn() {
    m_last_saved = m_tracker.latest_withdrawn();
    m_saved = common::save_progress();
    m_sinks.save(m_last_saved, m_saved);
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
