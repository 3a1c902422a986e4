#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/forwarding/call_router.hpp"
#include "boragehollow/forwarding/http_session.hpp"
#include "boragehollow/forwarding/listener_connections.hpp"
#include "boragehollow/forwarding/load_metrics.hpp"
#include "boragehollow/forwarding/local_target.hpp"
#include "boragehollow/forwarding/quota_gate.hpp"

#include <tl/expected.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::forwarding {

/// Activates a newer configuration.
struct configuration_changed {
    std::shared_ptr<const routing::route_table> routes;
    config::caller_limits limits;
    std::shared_ptr<const accounts::account_index> accounts; ///< Null: no accounts.
    common::steady_time activated = common::steady_clock::now();
};

/// All targets of one service.
struct service_targets {
    std::string service;
    std::vector<balancing::target_view> targets;
};

/// Replaces the target lists of services.
struct targets_changed {
    std::vector<service_targets> services;
    /// The targets of all services are known: another daemon has sent its whole member table.
    bool complete = false;
};

/// The target on this host announced itself, changed or was removed.
struct local_instance_changed {
    std::optional<target_instance> instance;
};

/// Sends a control request to another daemon. `on_reply` gets the body of the reply, or nothing on failure.
struct send_control_request {
    common::endpoint peer;
    std::string path;
    std::string body;
    std::chrono::milliseconds timeout{1'000};
    std::function<void(std::optional<std::string>)> on_reply;
};

/// Drains the target on this host: refuses queued and new calls.
struct drain_local_target {};

/// Stops accepting caller connections and closes the idle ones. Calls whose deadline is later than `end` are
/// refused from then on, since the process ends at that time.
struct stop_accepting {
    common::steady_time end;
};

/// Asks for the accounts and the calls that were counted for them.
struct summarize_accounts {
    common::reply_slot<accounts::accounts_summary> reply;
};

/// Replaces the plan of a service's roll-out.
struct rollout_plan_changed {
    rollout::plan current;
};

/// The service is no longer subject to a plan.
struct rollout_plan_removed {
    std::string service;
};

/// Requests the report of the local target; `on_report` gets nothing if there is no plan of its service.
struct rollout_report_requested {
    std::function<void(std::optional<rollout::report>)> on_report;
};

using forwarder_message =
    std::variant<configuration_changed, targets_changed, local_instance_changed, send_control_request,
                 drain_local_target, stop_accepting, summarize_accounts, rollout_plan_changed,
                 rollout_plan_removed, rollout_report_requested, quota_members>;

/// Handles a control request of another daemon. `send_reply` must be called once, at any time and from any
/// thread, with the body of the reply, or with nothing on failure.
using control_request_handler = std::function<void(
    const std::string& path, std::string body, std::function<void(std::optional<std::string>)> send_reply)>;

struct forwarder_settings {
    common::endpoint callers; ///< Listening endpoint for the callers on this host.
    common::endpoint peers;   ///< Listening endpoint for other daemons.
    router_settings router;
    admission::admission_settings admission;
    double link_megabits = 1'000; ///< Bandwidth of this host's link, in Mbit/s.
    std::size_t ring_size = 1'024;
    resources::memory_budget_settings memory;
    connection_settings connections;
    /// Time without a confirmed plan after which the local target takes no calls while its version is new.
    std::chrono::milliseconds max_unconfirmed_plan{1'500};
};

struct forwarder_sinks {
    control_request_handler control_request;
    newer_config_sink newer_config;
    newer_plan_sink newer_plan = [](const common::endpoint&) {};
    std::function<void()> target_unreachable;
};

/// Event loop thread that forwards all calls: those of the callers on this host, and those that other daemons
/// send to the target on this host. One Asio context waits for all connections.
class forwarder {
public:
    static tl::expected<std::unique_ptr<forwarder>, std::string> start(const forwarder_settings& settings,
                                                                       forwarder_sinks sinks,
                                                                       const telemetry::event_log& events,
                                                                       telemetry::metric_registry& metrics);

    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    ~forwarder();

    /// Does not block; returns false when the ring is full.
    bool post(forwarder_message message);

    /// For a message that nothing repeats: waits while the ring is full, for as long as the forwarder runs.
    /// Must not be called on the forwarder's thread.
    void deliver(const forwarder_message& message);
    common::ring_stats ring_stats() const { return m_ring.stats(); }

    common::endpoint caller_endpoint() const { return m_caller_endpoint; }
    common::endpoint peer_endpoint() const { return m_peer_endpoint; }

    /// Closes each caller connection after its next response.
    void start_connection_drain() { m_draining_connections = true; }
    /// Calls in progress, for callers and at the local target, plus responses that are not yet written and
    /// closing connections whose client may not have read its last response.
    std::size_t open_calls() const { return m_open_calls + m_unwritten_responses; }
    bool has_configuration() const { return m_has_configuration; }
    bool knows_targets() const { return m_knows_targets; }

    /// Stops and joins the thread.
    void stop();

private:
    void wake();
    forwarder(const forwarder_settings& settings, forwarder_sinks sinks, const telemetry::event_log& events,
              telemetry::metric_registry& metrics);

    tl::expected<void, std::string> open(tcp::acceptor& acceptor, const common::endpoint& listen,
                                         common::endpoint& bound);
    void run();
    void finish_coroutines();
    asio::awaitable<void> accept(tcp::acceptor& acceptor, listener_connections& connections,
                                 std::shared_ptr<const session_callbacks> callbacks);
    std::shared_ptr<const session_callbacks> caller_callbacks();
    std::shared_ptr<const session_callbacks> peer_callbacks();
    asio::awaitable<void> run_maintenance();
    asio::awaitable<session_response> serve_caller(request_message request, request_context context);
    asio::awaitable<session_response> serve_peer(request_message request, request_context context);
    asio::awaitable<response_message> serve_control(request_message request);
    asio::awaitable<void> exchange_control_request(send_control_request request);
    void process_messages();
    void handle(configuration_changed& message);
    void handle(targets_changed& message);
    void handle(local_instance_changed& message);
    void handle(send_control_request& message);
    void handle(const drain_local_target& message);
    void handle(const stop_accepting& message);
    void handle(const summarize_accounts& message);
    void handle(const rollout_plan_changed& message);
    void handle(const rollout_plan_removed& message);
    void handle(const rollout_report_requested& message);
    void handle(quota_members& message);

    forwarder_settings m_settings;
    forwarder_sinks m_sinks;
    const telemetry::event_log& m_events;
    telemetry::metric_registry& m_metrics;
    common::random_source m_random = common::random_source::from_system();
    std::shared_ptr<memory_ledger> m_memory;
    asio::io_context m_context{1};
    common::bounded_ring<forwarder_message> m_ring;
    std::atomic<bool> m_wake_pending{false};
    std::atomic<bool> m_draining_connections{false};
    std::atomic<bool> m_has_configuration{false};
    std::atomic<bool> m_knows_targets{false};
    bool m_stopped = false;
    std::atomic<std::size_t> m_open_calls{0};
    std::atomic<std::size_t> m_unwritten_responses{0}; ///< Includes closing connections.
    config::caller_limits m_limits;
    telemetry::latency_distribution& m_handover_time;
    load_metrics m_load;
    account_gate m_accounts;
    account_recorder m_account_calls;
    std::map<std::string, rollout::plan> m_rollout_plans; ///< By service.
    local_target m_target;
    connection_pool m_control_pool;
    quota_gate m_quota;
    call_router m_router;
    tcp::acceptor m_caller_acceptor;
    tcp::acceptor m_peer_acceptor;
    common::endpoint m_caller_endpoint;
    common::endpoint m_peer_endpoint;
    listener_connections m_callers;
    listener_connections m_peers;
    asio::steady_timer m_maintenance_timer;
    std::optional<common::duty> m_thread;
};

} // namespace boragehollow::forwarding
