#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/daemon/mesh_view.hpp"
#include "boragehollow/daemon/plan_broadcast.hpp"
#include "boragehollow/daemon/rollout_messages.hpp"
#include "boragehollow/membership/target_directory.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stop_token>
#include <string>
#include <vector>

namespace boragehollow::daemon {

struct rollout_duty_settings {
    std::string host;
    rollout::coordinator_settings coordinator;
    std::size_t ring_size = 1'024;
};

/// What the duty reads from others and sends to them. No call blocks.
struct rollout_sinks {
    std::function<std::shared_ptr<const mesh_view>()> mesh;
    std::function<std::shared_ptr<const membership::target_directory>()> targets;
    std::function<void(const rollout::plan&)> apply;
    std::function<void(const std::string& service)> remove;
    std::function<void()> request_report; ///< Answered by `local_report_made`.
    std::function<void(const common::endpoint& peer, const std::string& path, std::string body,
                       control_reply on_reply)>
        send;
    std::function<void(rollout_record_message)> record;
};

/// Thread that holds the plans of all roll-outs, reports the local target to their coordinators, and
/// coordinates the roll-outs that fall to this daemon. Without an order it waits for messages only.
class rollout_duty {
public:
    rollout_duty(rollout_duty_settings settings, rollout_sinks sinks, const telemetry::event_log& events,
                 telemetry::metric_registry& metrics);
    ~rollout_duty();

    void stop();

    common::bounded_ring<rollout_message>& ring() { return m_ring; }

private:
    struct waiting_order {
        rollout::order requested;
        common::steady_time received;
        bool age_known = true; ///< The order was just written when it was received.
        bool stage_requested = false;
        common::steady_time retry_at{};
    };

    /// Everything about the roll-outs of one service.
    struct service_state {
        std::optional<rollout::plan> plan;
        common::steady_time plan_received; ///< When `plan.elapsed` was true.
        std::deque<waiting_order> orders;  ///< Without the order of the plan; the newest last.
        std::uint64_t decided_offset = 0;  ///< Orders up to this one are decided.
        std::unique_ptr<rollout::coordinator> coordinator;
        std::uint64_t published_revision = 0; ///< Of the coordinator.
        plan_broadcast broadcast;
        bool running_recorded = false;
        common::steady_time
            next_record{}; ///< A write of the status that has no result until then has failed.
        std::optional<rollout::stage> recorded_stage;
        common::steady_time report_timeout{}; ///< A report is on its way until then.
        std::uint32_t reports_failed = 0;
        std::map<std::string, common::steady_time> reports_of_loss; ///< By host.
        std::optional<common::steady_time> loss_noticed;
    };

    void run(const std::stop_token& stop);
    std::optional<common::steady_time> next_wakeup() const;
    void tick(common::steady_time now);

    void handle(order_received& message);
    void handle(plans_received& message);
    void handle(plans_replied& message);
    void handle(report_received& message);
    void handle(local_report_made& message);
    void handle(report_delivered& message);
    void handle(plan_delivered& message);
    void handle(newer_plan_suspected& message);
    void handle(mesh_known& message);
    void handle(status_written& message);
    void handle(stage_read& message);
    void handle(overview_requested& message);

    std::vector<rollout::plan> plans(common::steady_time now) const;
    rollout::plan plan_at(const service_state& state, common::steady_time now) const;
    void adopt_all(const std::string& body);
    void adopt(const rollout::plan& received, common::steady_time now);
    void request_plans(const common::endpoint& peer);

    // Coordination, in rollout_coordination.cpp.
    std::vector<std::string> coordinators(const std::string& service, const mesh_view& mesh) const;
    std::optional<std::size_t> own_rank(const std::string& service, const mesh_view& mesh,
                                        const std::string& without) const;
    void start_orders(const std::string& service, service_state& state, const mesh_view& mesh,
                      common::steady_time now);
    void start(const std::string& service, service_state& state, const waiting_order& order,
               const std::optional<rollout::stage_record>& recorded, common::steady_time now);
    void take_over_if_lost(const std::string& service, service_state& state, const mesh_view& mesh,
                           common::steady_time now);
    void coordinate(const std::string& service, service_state& state, const mesh_view& mesh,
                    common::steady_time now);
    void publish(service_state& state, common::steady_time now);
    void record_progress(const std::string& service, service_state& state, common::steady_time now);
    void finish(service_state& state);
    std::set<std::string> withheld_versions(const std::string& service, const service_state& state,
                                            const std::string& version) const;
    std::vector<rollout::version_target> targets_of(const std::string& service, const mesh_view& mesh) const;
    void send_plan(const std::string& service, service_state& state, const mesh_view& mesh,
                   common::steady_time now);

    // Reports of the local target, in rollout_reports.cpp.
    void request_report_if_due(common::steady_time now);
    void deliver(const rollout::report& made, service_state& state, common::steady_time now);
    std::optional<common::endpoint> report_destination(const service_state& state,
                                                       const mesh_view& mesh) const;

    rollout_duty_settings m_settings;
    rollout_sinks m_sinks;
    const telemetry::event_log& m_events;
    telemetry::metric_registry& m_metrics;
    std::map<std::string, service_state> m_services;
    std::uint64_t m_broadcasts = 0;
    common::steady_time m_next_tick{};
    common::steady_time m_next_plan_request{};
    common::steady_time m_next_report{};
    common::bounded_ring<rollout_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
