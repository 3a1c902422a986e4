#pragma once

#include "pipeline.hpp"

#include "boragehollow/daemon/apply_duty.hpp"
#include "boragehollow/daemon/caller_frontend.hpp"
#include "boragehollow/daemon/log_reader_duty.hpp"
#include "boragehollow/daemon/membership_duty.hpp"
#include "boragehollow/daemon/mesh_queries.hpp"
#include "boragehollow/daemon/operator_frontend.hpp"
#include "boragehollow/daemon/peer_frontend.hpp"
#include "boragehollow/daemon/peer_sender_duty.hpp"
#include "boragehollow/daemon/publisher_duty.hpp"
#include "boragehollow/daemon/spreading_duty.hpp"
#include "boragehollow/daemon/timeline_duty.hpp"
#include "boragehollow/daemon/watch_duty.hpp"

#include <latch>
#include <memory>
#include <optional>

namespace boragehollow::daemon {

/// Members are destroyed in reverse order: first the sources, then the duties, then what they share.
struct pipeline::components {
    explicit components(settings::daemon_settings initial_settings);
    ~components();

    // Shared by all duties.
    settings::daemon_settings settings;
    settings::daemon_settings running_settings =
        settings;                   ///< After the last reload. Accessed by its caller only.
    std::latch components_ready{1}; ///< Sinks wait for it, since the duties start one after the other.
    std::shared_ptr<common::hybrid_clock> clock = std::make_shared<common::hybrid_clock>();
    telemetry::metric_registry metrics;
    timeline_duty timeline;
    telemetry::event_log events;
    std::shared_ptr<peer::link_filter> links = std::make_shared<peer::link_filter>();
    serving_state state;
    common::shared_snapshot<config::config_snapshot> snapshot;
    common::shared_snapshot<routing::route_table> routes;
    common::shared_snapshot<mesh_view> mesh;

    // Transport to other daemons.
    peer::peer_identity identity;
    common::endpoint gossip; ///< Bound address, with the port that the kernel chose.
    std::shared_ptr<peer::channel_pool> control_channels;
    std::shared_ptr<peer::channel_pool> call_channels;
    std::unique_ptr<peer::control_client> control;
    std::unique_ptr<mesh_queries> queries;

    // Duties.
    std::unique_ptr<dispatch_duty> dispatch;
    std::unique_ptr<admission_duty> admission;
    std::unique_ptr<watch_duty> watch;
    std::unique_ptr<publisher_duty> publisher;
    std::unique_ptr<membership_duty> membership;
    std::unique_ptr<spreading_duty> spreading;
    std::unique_ptr<apply_duty> apply;
    std::unique_ptr<log_reader_duty> log_reader;
    std::unique_ptr<peer_sender_duty> peer_sender;
    std::unique_ptr<target_frontend_duty> target;

    // Filters that run on the threads of the sources.
    std::unique_ptr<target_runner> runner;
    std::unique_ptr<call_runner> calls;
    std::unique_ptr<caller_frontend> callers;
    std::unique_ptr<operator_frontend> operators;
    std::unique_ptr<target_frontend> announcements;

    // Sources.
    std::unique_ptr<peer::peer_server> peer_server;
    std::unique_ptr<web::http_server> target_server;
    std::unique_ptr<web::http_server> operator_server;
    std::unique_ptr<web::http_server> caller_server;
};

} // namespace boragehollow::daemon
