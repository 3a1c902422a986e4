#pragma once

#include "boragehollow/daemon/caller_response.hpp"
#include "boragehollow/daemon/dispatch_duty.hpp"
#include "boragehollow/daemon/target_runner.hpp"
#include "boragehollow/peer/call_exchange.hpp"
#include "boragehollow/peer/channel_pool.hpp"
#include "boragehollow/peer/peer_identity.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::daemon {

/// A call on the daemon that received it. The start of the body is buffered as long as another attempt may
/// need it.
struct incoming_call {
    peer::call_head head; ///< `remaining`, `attempt` and `target_host` are set for each attempt.
    common::steady_time deadline;
    std::string buffered_body;
    bool body_complete = true;
};

/// Reads the next chunk of the request body. Returns empty data with `end` set at the end of the body, and
/// nothing when the transfer broke off.
using body_source = std::function<std::optional<peer::call_request_part>()>;

struct call_runner_settings {
    std::string host;
    std::chrono::milliseconds connect_timeout{500};
};

/// Runs calls: selects targets, retries attempts that were not run, sends hedged attempts and forwards the
/// response. Shared by the worker threads, each of which runs one call at a time.
class call_runner {
public:
    call_runner(call_runner_settings settings, dispatch_duty& dispatch, target_runner& local,
                std::shared_ptr<peer::channel_pool> channels, peer::peer_identity identity,
                telemetry::metric_registry& metrics);

    void run(incoming_call& call, const body_source& body, caller_response& response);

private:
    enum class attempt_status { completed, aborted, failed };

    struct attempt_report {
        attempt_status status = attempt_status::failed;
        peer::call_failure failure; ///< Set when the attempt failed.
        bool body_consumed = false; ///< More than the buffered start of the body was read from the caller.
    };

    class remote_attempts;

    balancing::attempt_request request_for(const incoming_call& call, balancing::attempt_kind kind,
                                           const std::vector<std::string>& tried,
                                           bool prior_attempts_not_run) const;
    peer::call_head head_for(const incoming_call& call, const balancing::attempt_target& selected,
                             std::size_t attempt) const;
    attempt_report run_local(incoming_call& call, const balancing::attempt_target& selected,
                             std::size_t attempt, const body_source& body, caller_response& response);
    attempt_report run_remote(incoming_call& call, const balancing::attempt_target& selected,
                              std::vector<std::string>& tried, const body_source& body,
                              caller_response& response);
    void report(const balancing::attempt_target& selected, balancing::attempt_outcome outcome,
                common::steady_time started, std::optional<peer::target_load> load);

    call_runner_settings m_settings;
    dispatch_duty& m_dispatch;
    target_runner& m_local;
    std::shared_ptr<peer::channel_pool> m_channels;
    peer::peer_identity m_identity;
    telemetry::counter& m_answered;
    telemetry::counter& m_not_run;
    telemetry::counter& m_unknown;
    telemetry::counter& m_aborted;
    telemetry::counter& m_retries;
    telemetry::counter& m_hedges;
    telemetry::latency_distribution& m_latency;
};

} // namespace boragehollow::daemon
