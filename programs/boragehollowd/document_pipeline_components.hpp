#pragma once

#include "document_pipeline.hpp"

#include "boragehollow/daemon/instance_duty.hpp"
#include "boragehollow/daemon/membership_duty.hpp"
#include "boragehollow/daemon/operator_frontend.hpp"
#include "boragehollow/daemon/registry_duty.hpp"
#include "boragehollow/daemon/rollout_duty.hpp"
#include "boragehollow/daemon/rollout_record_duty.hpp"
#include "boragehollow/daemon/state_duty.hpp"
#include "boragehollow/daemon/state_source_duty.hpp"
#include "boragehollow/daemon/timeline_duty.hpp"
#include "boragehollow/daemon/watch_duty.hpp"
#include "boragehollow/forwarding/forwarder.hpp"
#include "boragehollow/platform/host_frontend.hpp"
#include "boragehollow/quota/known_daemons.hpp"

#include <atomic>
#include <chrono>
#include <latch>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boragehollow::daemon {

/// Timeout for another duty or daemon to accept or reply to a message.
inline constexpr std::chrono::milliseconds control_timeout{800};

inline common::steady_time deadline_after(std::chrono::milliseconds wait) {
    return common::steady_clock::now() + wait;
}

struct known_peer {
    common::endpoint address;
    bool same_domain = false;
};

/// Members are destroyed in reverse order: first the sources, then the duties, then what they share.
struct document_pipeline::components {
    explicit components(settings::daemon_settings initial_settings);
    ~components();

    // Shared by all duties.
    settings::daemon_settings settings;
    settings::daemon_settings running_settings =
        settings; ///< After the last reload. Accessed by its caller only.
    const common::steady_time started = common::steady_clock::now();
    std::latch components_ready{1}; ///< Sinks wait for it, since the duties start one after the other.
    std::shared_ptr<common::hybrid_clock> clock = std::make_shared<common::hybrid_clock>();
    telemetry::metric_registry metrics;
    timeline_duty timeline;
    telemetry::event_log events;
    std::shared_ptr<peer::link_filter> links = std::make_shared<peer::link_filter>();
    std::atomic<bool> stopping{false};
    std::atomic<bool> leaving{false}; ///< The local target takes no new calls, since this daemon stops.
    common::shared_snapshot<config::config_snapshot> snapshot;
    common::shared_snapshot<mesh_view> mesh;
    common::shared_snapshot<membership::target_directory>
        targets; ///< Stored only where roll-outs are enabled.
    std::shared_ptr<const membership::target_directory>
        directory;                           ///< Accessed only by the membership thread.
    common::endpoint gossip;                 ///< Bound address.
    std::map<std::string, known_peer> hosts; ///< Accessed only by the membership thread.
    /// Latest known epoch of the platform log; 0 before the first response of the platform or a peer.
    std::atomic<std::uint64_t> log_epoch{0};
    /// How this daemon reads the platform; empty before the first view of the mesh. Accessed only by the
    /// membership thread.
    std::optional<reading_mode> reading;
    bool mesh_known = false;                        ///< Accessed only by the membership thread.
    std::atomic<std::size_t> registered_daemons{0}; ///< Hosts that ever registered.
    quota::known_daemons known_daemons;             ///< Accessed only by the membership thread.
    forwarding::quota_members quota_members;        ///< As last sent. Accessed only by the membership thread.

    // Duties.
    std::unique_ptr<watch_duty> watch;
    std::unique_ptr<forwarding::forwarder> forwarder;
    std::unique_ptr<instance_duty> instance;
    std::unique_ptr<membership_duty> membership;
    std::unique_ptr<state_duty> state;
    std::unique_ptr<state_source_duty> state_source;
    std::unique_ptr<registry_duty> registry;
    std::unique_ptr<rollout_record_duty> rollout_records; ///< Null unless roll-outs are enabled.
    std::unique_ptr<rollout_duty> rollout;                ///< Null unless roll-outs are enabled.

    // Filters that run on the threads of the sources.
    std::unique_ptr<operator_frontend> operators;
    std::unique_ptr<platform::host_frontend> host;

    // Sources.
    std::unique_ptr<web::http_server> target_server;
    std::unique_ptr<web::http_server> readiness_server;
    std::unique_ptr<web::http_server> operator_server;
};

/// Wraps a sink so that it waits until all components exist: the duties start one after the other, and the
/// first ones may call their sinks early.
template <class Sink>
auto when_components_ready(document_pipeline::components& daemon, Sink sink) {
    return [&daemon, sink = std::move(sink)](auto&&... arguments) {
        daemon.components_ready.wait();
        return sink(std::forward<decltype(arguments)>(arguments)...);
    };
}

} // namespace boragehollow::daemon
