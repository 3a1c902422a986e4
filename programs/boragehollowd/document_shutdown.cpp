#include "document_pipeline_components.hpp"

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

/// Two readiness checks, a second apart, have failed after this time, and most callers send no new work.
/// Callers that still do need the rest of the drain time for their calls.
constexpr std::chrono::milliseconds readiness_propagation_time{2'900};

/// Time for which the local target still takes calls: it does not stop, and without its slots the other
/// targets of its service get more calls. The calls that it has taken by then end before the drain limit.
constexpr std::chrono::milliseconds target_service_time{1'200};

/// Time after which other daemons have learned by gossip that this one leaves.
constexpr std::chrono::milliseconds leave_propagation_time{700};

constexpr std::chrono::milliseconds drain_poll_interval{50};

} // namespace

void document_pipeline::drain() {
    components& daemon = *m_components;
    const common::steady_time started = common::steady_clock::now();
    const std::chrono::milliseconds limit =
        daemon.settings.calls.drain_limit.value_or(daemon.settings.calls.longest_deadline);
    daemon.events.emit(event_number::daemon_stop_requested, {{"running", daemon.forwarder->open_calls()}});
    daemon.stopping = true;
    daemon.forwarder->start_connection_drain();
    daemon.operators->stop();
    common::bounded_ring<std::monostate> pause(
        1); // Never filled; its `pop_until` waits on a condition variable.
    pause.pop_until(started + target_service_time);
    daemon.leaving = true;
    membership::target_announcement leaving;
    leaving.service = daemon.settings.target.service.value_or("");
    leaving.state = membership::target_state::draining;
    daemon.membership->ring().push_until(local_announcement_changed{std::move(leaving)},
                                         deadline_after(control_timeout));
    pause.pop_until(started + target_service_time + leave_propagation_time);
    daemon.forwarder->deliver(forwarding::drain_local_target{});
    pause.pop_until(started + readiness_propagation_time);
    daemon.forwarder->deliver(forwarding::stop_accepting{started + limit});
    daemon.membership->ring().push_until(leave_mesh{}, deadline_after(control_timeout));
    pause.pop_until(common::steady_clock::now() + drain_poll_interval);
    while (daemon.forwarder->open_calls() > 0) {
        const common::steady_time now = common::steady_clock::now();
        if (now - started >= limit) {
            daemon.events.emit(event_number::daemon_drain_limit_reached,
                               {{"running", daemon.forwarder->open_calls()}});
            return;
        }
        pause.pop_until(now + drain_poll_interval);
    }
    daemon.events.emit(event_number::daemon_drained, {{"duration", common::steady_clock::now() - started}});
}

document_pipeline::components::~components() {
    if (operators) {
        operators->stop();
    }
    operator_server.reset();
    readiness_server.reset();
    target_server.reset();
    // After a failed start, the latch is still closed and some duties do not exist.
    if (!components_ready.try_wait()) {
        components_ready.count_down();
    }
    const auto stop = [](auto& duty) {
        if (duty) {
            duty->stop();
        }
    };
    stop(registry);
    stop(state_source);
    stop(rollout);
    stop(rollout_records);
    stop(forwarder);
    stop(instance);
    stop(membership);
    stop(state);
    stop(watch);
    events.emit(event_number::daemon_stopped);
}

} // namespace boragehollow::daemon
