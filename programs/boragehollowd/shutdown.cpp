#include "shutdown.hpp"

#include <thread>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::chrono::milliseconds drain_poll{50};
constexpr std::chrono::seconds message_wait{1};

/// Time in which other daemons hear that this one leaves, before its listeners close.
constexpr std::chrono::milliseconds leave_notice{500};

std::size_t running_at_target(pipeline::parts& all) {
    const query_admission question;
    all.admission->ring().push_until(question, common::steady_clock::now() + message_wait);
    const auto status = question.reply.wait_until(common::steady_clock::now() + message_wait);
    return status ? status->running_short + status->running_long : 0;
}

std::size_t running_calls(pipeline::parts& all) {
    return all.caller_server->requests_in_flight() + running_at_target(all);
}

} // namespace

void drain_parts(pipeline::parts& all) {
    const common::steady_time started = common::steady_clock::now();
    const auto limit = all.settings.calls.drain_limit;
    all.events.emit(event_number::daemon_stop_requested, {{"running", running_calls(all)}});
    all.state.stopping = true;
    all.target->ring().push_until(start_target_drain{}, started + message_wait);
    all.admission->ring().push_until(start_admission_drain{}, started + message_wait);
    all.membership->ring().push_until(leave_mesh{}, started + message_wait);
    all.operators->stop();
    std::this_thread::sleep_for(leave_notice);
    while (running_calls(all) > 0) {
        if (limit && common::steady_clock::now() - started >= *limit) {
            all.events.emit(event_number::daemon_drain_limit_reached, {{"running", running_calls(all)}});
            return;
        }
        std::this_thread::sleep_for(drain_poll);
    }
    all.events.emit(event_number::daemon_drained, {{"duration", common::steady_clock::now() - started}});
}

pipeline::parts::~parts() {
    if (operators) {
        operators->stop();
    }
    caller_server.reset();
    operator_server.reset();
    target_server.reset();
    if (peer_server) {
        peer_server->stop(std::chrono::milliseconds(200));
    }
    // A start that failed leaves the latch closed and some duties out.
    if (!wired.try_wait()) {
        wired.count_down();
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
