#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/shared_snapshot.hpp"
#include "boragehollow/daemon/admission_duty.hpp"
#include "boragehollow/peer/call_messages.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/telemetry/metrics.hpp"
#include "boragehollow/web/http_client.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace boragehollow::daemon {

/// Address of the local target. The shared snapshot of it is null while no target is announced.
struct target_address {
    common::endpoint endpoint;
};

/// Returns the next part of the request, or nothing when the sender has disconnected.
using request_source = std::function<std::optional<peer::call_request_part>()>;
/// Receives parts of the response. Returns false when the receiver has disconnected.
using reply_sink = std::function<bool(const peer::call_reply_part&)>;

struct target_runner_settings {
    /// Maximum idle time of a connection that is reused. The target may close an idle connection at any time,
    /// and a request lost on it would have an unknown outcome.
    std::chrono::milliseconds max_idle_time{400};
    std::size_t max_idle_connections = 130;
};

/// Runs admitted calls on the target of this host. Shared by many threads, each of which runs one call at a
/// time.
class target_runner {
public:
    target_runner(target_runner_settings settings, admission_duty& admission,
                  telemetry::metric_registry& metrics);

    /// Admits the call, runs it and forwards the response. `first` contains the start of the body.
    void run(const peer::call_head& head, peer::call_request_part first, const request_source& source,
             const reply_sink& sink);

    void set_target(std::optional<common::endpoint> target);

private:
    struct running_call;

    std::optional<peer::call_failure> deadline_failure(const peer::call_head& head,
                                                       common::steady_time deadline) const;
    std::optional<web::client_connection> acquire_connection(peer::call_failure& failure);
    admission::call_result transfer(running_call& call, const request_source& source, const reply_sink& sink);
    bool send_body(running_call& call, const request_source& source);
    admission::call_result forward_response(running_call& call, const reply_sink& sink);

    target_runner_settings m_settings;
    admission_duty& m_admission;
    common::shared_snapshot<target_address> m_target;
    common::bounded_ring<web::client_connection> m_idle_connections;
    telemetry::counter& m_granted;
    telemetry::counter& m_refused;
    telemetry::counter& m_broken;
    telemetry::latency_distribution& m_wait;
    telemetry::latency_distribution& m_service_time;
};

} // namespace boragehollow::daemon
