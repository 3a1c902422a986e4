#include "document_parts.hpp"

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

/// Two readiness checks, a second apart, have failed by then, and most callers send no new work. Those that
/// still do need the rest of the time for their calls.
constexpr std::chrono::milliseconds callers_turn_away{2'900};

/// Other daemons have heard by gossip that this one leaves.
constexpr std::chrono::milliseconds leave_notice{700};

constexpr std::chrono::milliseconds drain_poll{50};

} // namespace

void document_pipeline::drain() {
    parts& all = *m_parts;
    const common::steady_time started = common::steady_clock::now();
    const std::chrono::milliseconds limit =
        all.settings.calls.drain_limit.value_or(all.settings.calls.longest_deadline);
    all.events.emit(event_number::daemon_stop_requested, {{"running", all.forwarder->open_calls()}});
    all.stopping = true;
    all.forwarder->begin_stop();
    membership::target_announcement leaving;
    leaving.service = all.settings.target.service.value_or("");
    leaving.state = membership::target_state::draining;
    all.membership->ring().push_until(local_announcement_changed{std::move(leaving)}, after(control_wait));
    all.operators->stop();
    common::bounded_ring<std::monostate> pause(1); // Never filled: a wait on a condition variable.
    pause.pop_until(started + leave_notice);
    all.forwarder->post(forwarding::refuse_new_work{});
    pause.pop_until(started + callers_turn_away);
    all.forwarder->post(forwarding::stop_accepting{});
    all.membership->ring().push_until(leave_mesh{}, after(control_wait));
    pause.pop_until(common::steady_clock::now() + drain_poll);
    while (all.forwarder->open_calls() > 0) {
        const common::steady_time now = common::steady_clock::now();
        if (now - started >= limit) {
            all.events.emit(event_number::daemon_drain_limit_reached,
                            {{"running", all.forwarder->open_calls()}});
            return;
        }
        pause.pop_until(now + drain_poll);
    }
    all.events.emit(event_number::daemon_drained, {{"duration", common::steady_clock::now() - started}});
}

document_pipeline::parts::~parts() {
    if (operators) {
        operators->stop();
    }
    operator_server.reset();
    readiness_server.reset();
    target_server.reset();
    // A start that failed leaves the latch closed and some duties out.
    if (!wired.try_wait()) {
        wired.count_down();
    }
    const auto stop = [](auto& duty) {
        if (duty) {
            duty->stop();
        }
    };
    stop(registry);
    stop(state_source);
    stop(forwarder);
    stop(instance);
    stop(membership);
    stop(state);
    stop(watch);
    events.emit(event_number::daemon_stopped);
}

} // namespace boragehollow::daemon
