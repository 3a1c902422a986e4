#include "shutdown.hpp"

#include <thread>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::chrono::milliseconds drain_poll_interval{50};
constexpr std::chrono::seconds message_timeout{1};
constexpr std::chrono::milliseconds peer_shutdown_grace_period{200};

/// Time for other daemons to learn that this one leaves, before its listeners close.
constexpr std::chrono::milliseconds leave_propagation_time{500};

std::size_t running_at_target(pipeline::components& daemon) {
    const query_admission query;
    daemon.admission->ring().push_until(query, common::steady_clock::now() + message_timeout);
    const auto status = query.reply.wait_until(common::steady_clock::now() + message_timeout);
    return status ? status->running_short + status->running_long : 0;
}

std::size_t running_calls(pipeline::components& daemon) {
    return daemon.caller_server->requests_in_flight() + running_at_target(daemon);
}

} // namespace

void drain_daemon(pipeline::components& daemon) {
    const common::steady_time started = common::steady_clock::now();
    const auto limit = daemon.settings.calls.drain_limit;
    daemon.events.emit(event_number::daemon_stop_requested, {{"running", running_calls(daemon)}});
    daemon.state.stopping = true;
    daemon.target->ring().push_until(start_target_drain{}, started + message_timeout);
    daemon.admission->ring().push_until(start_admission_drain{}, started + message_timeout);
    daemon.membership->ring().push_until(leave_mesh{}, started + message_timeout);
    daemon.operators->stop();
    std::this_thread::sleep_for(leave_propagation_time);
    while (running_calls(daemon) > 0) {
        if (limit && common::steady_clock::now() - started >= *limit) {
            daemon.events.emit(event_number::daemon_drain_limit_reached,
                               {{"running", running_calls(daemon)}});
            return;
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    daemon.events.emit(event_number::daemon_drained, {{"duration", common::steady_clock::now() - started}});
}

pipeline::components::~components() {
    if (operators) {
        operators->stop();
    }
    caller_server.reset();
    operator_server.reset();
    target_server.reset();
    if (peer_server) {
        peer_server->stop(peer_shutdown_grace_period);
    }
    // After a failed start, the latch is still closed and some duties do not exist.
    if (!components_ready.try_wait()) {
        components_ready.count_down();
    }
    const auto stop = [](auto& duty) {
        if (duty) {
            duty->stop();
        }
    };
    stop(log_reader);
    stop(target);
    stop(membership);
    stop(spreading);
    stop(apply);
    stop(publisher);
    stop(peer_sender);
    stop(watch);
    stop(dispatch);
    stop(admission);
    control.reset();
    events.emit(event_number::daemon_stopped);
}

} // namespace boragehollow::daemon
