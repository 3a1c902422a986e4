#include "pipeline.hpp"

#include "conversions.hpp"
#include "http_listeners.hpp"
#include "pipeline_components.hpp"
#include "settings_reload.hpp"
#include "shutdown.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

// Creates and connects all duties of a daemon whose configuration comes from the platform log:
//   configuration: platform log -> log_reader -> spreading -> apply -> dispatch, admission, publisher, watch
//                  peers <-> peer_sender, peer_frontend <-> spreading
//   membership:    gossip socket -> membership -> dispatch (targets), spreading (peers), mesh view
//   calls:         caller -> caller_frontend -> call_runner (dispatch) -> peer or target_runner (admission)
//                  -> target

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::chrono::milliseconds control_timeout{1'000};
constexpr std::chrono::seconds apply_timeout{5};
constexpr std::chrono::seconds publish_timeout{10};
constexpr std::size_t control_channel_capacity = 64;
constexpr std::size_t call_channel_capacity = 512;
constexpr std::size_t watch_ring_size = 256;
constexpr std::chrono::seconds pull_timeout{8};

common::steady_time deadline_after(std::chrono::milliseconds wait) {
    return common::steady_clock::now() + wait;
}

/// Passes a change of the local target to admission, to the target runner and to the mesh.
void announce_target(pipeline::components& daemon, const std::optional<announcement>& target) {
    std::optional<admission::local_target> local;
    membership::target_announcement announced;
    if (target) {
        local = admission::local_target{target->target.service, target->target.slots,
                                        admission_state(target->target.state)};
        announced = target->target;
        daemon.runner->set_target(target->address);
    } else {
        announced.state = membership::target_state::gone;
    }
    daemon.admission->ring().push_until(local_target_changed{std::move(local)},
                                        deadline_after(control_timeout));
    daemon.membership->ring().push_until(local_announcement_changed{std::move(announced)},
                                         deadline_after(control_timeout));
}

/// Wraps a sink so that it waits until all components exist: the duties start one after the other, and the
/// first ones may call their sinks early.
template <class Sink>
auto when_components_ready(pipeline::components& daemon, Sink sink) {
    return [&daemon, sink = std::move(sink)](auto&&... arguments) {
        daemon.components_ready.wait();
        return sink(std::forward<decltype(arguments)>(arguments)...);
    };
}

/// Passes a new configuration state to everything that serves calls or operators. Returns false when a ring
/// was full; the apply duty then repeats the notification.
bool distribute_state(pipeline::components& daemon, const codec::snapshot_pointer& state) {
    daemon.snapshot.store(state);
    daemon.routes.store(std::make_shared<routing::route_table>(routing::route_table::build(state)));
    daemon.watch->ring().push_newest(config_changed{state});
    return daemon.dispatch->ring().push_until(config_changed{state}, deadline_after(apply_timeout)) &&
           daemon.admission->ring().push_until(config_changed{state}, deadline_after(apply_timeout)) &&
           daemon.publisher->ring().push_until(config_changed{state}, deadline_after(apply_timeout)) &&
           daemon.spreading->ring().push_until(state_applied{state}, deadline_after(apply_timeout)) &&
           daemon.membership->ring().push_until(local_version_changed{state->version},
                                                deadline_after(apply_timeout));
}

/// platform log -> log_reader -> spreading -> apply -> all users of the configuration
void start_configuration_duties(pipeline::components& daemon) {
    const settings::daemon_settings& settings = daemon.settings;
    daemon.publisher = std::make_unique<publisher_duty>(make_log_client(daemon), settings.platform,
                                                        common::random_source::from_system(),
                                                        settings.rings.publisher, daemon.events);
    daemon.log_reader = std::make_unique<log_reader_duty>(
        make_log_client(daemon), settings.platform, common::random_source::from_system(),
        settings.rings.log_reader,
        when_components_ready(daemon,
                              [&daemon](spreading_message message) {
                                  daemon.spreading->ring().push_until(std::move(message),
                                                                      deadline_after(apply_timeout));
                              }),
        daemon.events);

    apply_sinks from_apply;
    from_apply.applied = when_components_ready(
        daemon, [&daemon](const codec::snapshot_pointer& state) { return distribute_state(daemon, state); });
    from_apply.failed = when_components_ready(daemon, [&daemon] {
        daemon.spreading->ring().push_until(apply_failed{}, deadline_after(apply_timeout));
    });
    daemon.apply = std::make_unique<apply_duty>(settings.rings.apply, std::move(from_apply), daemon.events);

    spreading_sinks from_spreading;
    from_spreading.push = when_components_ready(daemon, [&daemon](spreading::push message) {
        daemon.peer_sender->ring().push_newest(std::move(message));
    });
    from_spreading.pull = when_components_ready(daemon, [&daemon](spreading::pull message) {
        daemon.peer_sender->ring().push_newest(std::move(message));
    });
    from_spreading.apply = when_components_ready(daemon, [&daemon](apply_message message) {
        return daemon.apply->ring().push_until(std::move(message), deadline_after(apply_timeout));
    });
    from_spreading.log_reader = when_components_ready(daemon, [&daemon](log_reader_message message) {
        daemon.log_reader->ring().push_newest(std::move(message));
    });
    from_spreading.readiness = when_components_ready(daemon, [&daemon](bool ready) {
        daemon.state.ready = ready;
        daemon.events.emit(ready ? event_number::daemon_ready : event_number::daemon_not_ready);
    });
    daemon.spreading = std::make_unique<spreading_duty>(
        spreading_settings_of(settings), common::random_source::from_system(), settings.rings.spreading,
        std::move(from_spreading), daemon.events);
}

/// Control requests to other daemons; the replies go back to the duty that sent the request.
void start_peer_sender_duty(pipeline::components& daemon) {
    peer_sender_sinks sinks;
    sinks.pull_completed =
        when_components_ready(daemon, [&daemon](std::uint64_t id, const std::string& peer,
                                                tl::expected<spreading::pull_reply, std::string> reply) {
            if (reply) {
                daemon.spreading->ring().try_push(pull_replied{id, peer, std::move(*reply)});
            } else {
                daemon.spreading->ring().try_push(pull_failed{id});
            }
        });
    sinks.sync_completed = when_components_ready(daemon, [&daemon](
                                                             const send_sync& request,
                                                             tl::expected<membership::sync_reply, std::string>
                                                                 reply) {
        if (reply) {
            daemon.membership->ring().try_push(sync_replied{request.host, request.peer, std::move(*reply)});
        }
    });
    const settings::daemon_settings& settings = daemon.settings;
    daemon.peer_sender = std::make_unique<peer_sender_duty>(
        peer_sender_settings{settings.timing.peer_request_timeout, pull_timeout, settings.rings.peer_sender},
        *daemon.control, daemon.mesh, std::move(sinks));
}

/// gossip socket -> membership -> dispatch (targets) and spreading (peers)
void start_membership_duties(pipeline::components& daemon, transport::udp_socket socket,
                             membership::member self) {
    const settings::daemon_settings& settings = daemon.settings;
    membership_sinks sinks;
    sinks.sync =
        when_components_ready(daemon, [&daemon](const std::string& host, const common::endpoint& peer,
                                                membership::sync_request request) {
            daemon.peer_sender->ring().push_newest(send_sync{host, peer, std::move(request)});
        });
    sinks.directory = when_components_ready(
        daemon, [&daemon](std::shared_ptr<const membership::target_directory> directory, bool) {
            daemon.dispatch->ring().push_until(targets_changed{std::move(directory)},
                                               deadline_after(control_timeout));
        });
    sinks.mesh = when_components_ready(daemon, [&daemon](std::shared_ptr<const mesh_view> mesh) {
        daemon.spreading->ring().push_until(peer_view_of(*mesh, daemon.settings.baseline),
                                            deadline_after(control_timeout));
        daemon.mesh.store(std::move(mesh));
    });
    sinks.version_observed =
        when_components_ready(daemon, [&daemon](const std::string& host, common::revision version) {
            daemon.spreading->ring().try_push(version_observed{host, version});
        });
    membership::membership_engine engine(std::move(self), settings.gossip.seeds,
                                         membership_settings_of(settings),
                                         common::random_source::from_system(), common::steady_clock::now());
    daemon.membership = std::make_unique<membership_duty>(
        std::move(engine), std::move(socket), settings.identity.mesh, daemon.clock, daemon.links,
        settings.rings.membership, std::move(sinks), daemon.events);
}

/// caller_frontend -> call_runner -> dispatch; peer or caller -> target_runner -> admission; target ->
/// target_frontend
void start_call_duties(pipeline::components& daemon) {
    const settings::daemon_settings& settings = daemon.settings;
    daemon.dispatch = std::make_unique<dispatch_duty>(
        balancing::balancer_settings{settings.identity.failure_domain, settings.calls.key_window},
        common::random_source::from_system(), settings.rings.dispatch);
    daemon.admission = std::make_unique<admission_duty>(
        admission::admission_settings{settings.calls.longest_deadline, settings.calls.key_window},
        settings.rings.admission, settings.baseline.admission == settings::admission_mode::off_shared_fifo);
    target_runner_settings runner_settings;
    runner_settings.max_idle_connections = settings.limits.target_connections;
    daemon.runner = std::make_unique<target_runner>(runner_settings, *daemon.admission, daemon.metrics);
    daemon.calls = std::make_unique<call_runner>(
        call_runner_settings{settings.identity.host, settings.timing.connect_timeout}, *daemon.dispatch,
        *daemon.runner, daemon.call_channels, daemon.identity, daemon.metrics);
    daemon.callers =
        std::make_unique<caller_frontend>(caller_frontend_settings{settings.calls.longest_deadline},
                                          daemon.state, daemon.routes, *daemon.calls, daemon.metrics);
    daemon.watch = std::make_unique<watch_duty>(watch_ring_size);

    target_frontend_settings frontend_settings;
    frontend_settings.heartbeat = settings.timing.heartbeat;
    frontend_settings.missed_heartbeats = settings.timing.missed_heartbeats;
    frontend_settings.ring_size = settings.rings.target_front;
    daemon.target = std::make_unique<target_frontend_duty>(
        frontend_settings,
        when_components_ready(
            daemon,
            [&daemon](const std::optional<announcement>& target) { announce_target(daemon, target); }),
        daemon.events);
    daemon.announcements = std::make_unique<target_frontend>(*daemon.target);
}

peer_frontend_callbacks make_peer_callbacks(pipeline::components& daemon) {
    peer_frontend_callbacks callbacks;
    callbacks.failure_domain = daemon.settings.identity.failure_domain;
    callbacks.push = when_components_ready(
        daemon, [&daemon](const std::string& from, std::vector<spreading::log_record> records) {
            return daemon.spreading->ring().try_push(push_from_peer{from, std::move(records)});
        });
    callbacks.pull = when_components_ready(daemon, [&daemon](const spreading::pull_request& request) {
        return daemon.spreading->handle_pull_request(request, deadline_after(control_timeout));
    });
    callbacks.sync = when_components_ready(daemon, [&daemon](const membership::sync_request& request) {
        return daemon.membership->handle_sync_request(request, deadline_after(control_timeout));
    });
    callbacks.progress = when_components_ready(daemon, [&daemon](common::revision version) {
        return daemon.membership->progress(version, deadline_after(control_timeout));
    });
    callbacks.timeline =
        when_components_ready(daemon, [&daemon](std::optional<common::hybrid_time> since, std::size_t limit) {
            return daemon.timeline.query(since, limit, deadline_after(control_timeout));
        });
    return callbacks;
}

daemon_status status_of(pipeline::components& daemon) {
    daemon_status status;
    status.host = daemon.settings.identity.host;
    status.failure_domain = daemon.settings.identity.failure_domain;
    status.ready = daemon.state.ready;
    status.stopping = daemon.state.stopping;
    if (const auto mesh = daemon.mesh.load()) {
        const auto readers = mesh->readers(mesh->own_domain);
        status.log_reader = std::find(readers.begin(), readers.end(), mesh->own_host) != readers.end();
        status.compactor = mesh->compactor() == mesh->own_host;
        status.alive = mesh->count(membership::member_state::alive);
        status.suspect = mesh->count(membership::member_state::suspect);
        status.dead = mesh->count(membership::member_state::dead);
    }
    const query_target query;
    if (daemon.target->ring().try_push(query)) {
        status.target = query.reply.wait_until(deadline_after(control_timeout)).value_or(std::nullopt);
    }
    return status;
}

std::vector<host_timeline> timelines_of(pipeline::components& daemon,
                                        std::optional<common::hybrid_time> since, std::size_t limit,
                                        bool whole_mesh) {
    if (whole_mesh) {
        return daemon.queries->timelines(since, limit);
    }
    auto page = daemon.timeline.query(since, limit, deadline_after(control_timeout));
    host_timeline own{daemon.settings.identity.host, page.has_value(), {}};
    if (page) {
        own.page = std::move(*page);
    }
    return {std::move(own)};
}

operator_callbacks make_operator_callbacks(pipeline::components& daemon) {
    operator_callbacks callbacks;
    callbacks.publish = [&daemon](const config::change& change) {
        return daemon.publisher->publish(change, deadline_after(publish_timeout));
    };
    callbacks.snapshot = [&daemon] { return daemon.snapshot.load(); };
    callbacks.progress = [&daemon](common::revision version) { return daemon.queries->progress(version); };
    callbacks.timeline = [&daemon](std::optional<common::hybrid_time> since, std::size_t limit,
                                   bool whole_mesh) {
        return timelines_of(daemon, since, limit, whole_mesh);
    };
    callbacks.status = [&daemon] { return status_of(daemon); };
    callbacks.metrics = [&daemon] { return daemon.metrics.render(common::steady_clock::now()); };
    callbacks.watch = [&daemon](open_watch watch) { return daemon.watch->ring().try_push(std::move(watch)); };
    if (daemon.settings.testing.allow_fault_injection) {
        callbacks.block_links = [&daemon](std::set<common::endpoint> blocked) {
            daemon.links->set_blocked(std::move(blocked));
        };
    }
    return callbacks;
}

void register_rings(pipeline::components& daemon) {
    const auto add = [&daemon](const std::string& name, auto& duty) {
        daemon.metrics.add_ring(name, [&duty] { return duty.ring().stats(); });
    };
    add("log_reader", *daemon.log_reader);
    add("spreading", *daemon.spreading);
    add("apply", *daemon.apply);
    add("publisher", *daemon.publisher);
    add("membership", *daemon.membership);
    add("dispatch", *daemon.dispatch);
    add("admission", *daemon.admission);
    add("target_front", *daemon.target);
    add("watch", *daemon.watch);
    add("peer_sender", *daemon.peer_sender);
    add("timeline", daemon.timeline);
}

/// Registers the byte and message counters of the control plane. The platform counts the reads of its log
/// itself.
void register_traffic(pipeline::components& daemon) {
    const auto add = [&daemon](const std::string& transport, const common::traffic_counter& traffic) {
        const auto series = [&](const std::string& name, const std::string& direction, auto member) {
            daemon.metrics.add_computed_gauge(
                name, "Control plane by transport since the start, without framing",
                {{"transport", transport}, {"direction", direction}},
                [&traffic, member] { return static_cast<double>(traffic.read().*member); });
        };
        using totals = common::traffic_counter::totals;
        series("boragehollow_control_bytes", "sent", &totals::sent_bytes);
        series("boragehollow_control_bytes", "received", &totals::received_bytes);
        series("boragehollow_control_messages", "sent", &totals::sent_messages);
        series("boragehollow_control_messages", "received", &totals::received_messages);
    };
    add("gossip", daemon.membership->traffic());
    add("peer_client", daemon.control->traffic());
    add("peer_server", daemon.peer_server->control_traffic());
}

/// Opens the HTTP listeners for target announcements, operators and callers.
tl::expected<void, std::string> open_http_listeners(pipeline::components& daemon) {
    const auto& [callers, operators, peer, gossip, target, readiness] = daemon.settings.listeners;
    const settings::limit_settings& limits = daemon.settings.limits;
    auto opened =
        open_http_listener(daemon, {"target", target, limits.target_threads, target_read_timeout},
                           count_client_errors(daemon, "target", [&daemon](web::server_exchange& exchange) {
                               daemon.announcements->serve(exchange);
                           }));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    daemon.target_server = std::move(*opened);
    operator_frontend_settings frontend_settings;
    frontend_settings.max_body_bytes = limits.operator_body_bytes;
    daemon.operators = std::make_unique<operator_frontend>(frontend_settings, make_operator_callbacks(daemon),
                                                           daemon.events);
    opened = open_http_listener(
        daemon, {"operators", operators, limits.operator_threads, operator_read_timeout},
        count_client_errors(daemon, "operators", [&daemon](web::server_exchange& exchange) {
            daemon.operators->serve(exchange);
        }));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    daemon.operator_server = std::move(*opened);
    opened =
        open_http_listener(daemon, {"callers", callers, limits.caller_threads, caller_read_timeout},
                           [&daemon](web::server_exchange& exchange) { daemon.callers->serve(exchange); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    daemon.caller_server = std::move(*opened);
    return {};
}

} // namespace

pipeline::components::components(settings::daemon_settings initial_settings)
    : settings(std::move(initial_settings)),
      timeline(settings.rings.timeline, settings.limits.timeline_events, settings.limits.timeline_bytes),
      events(settings.identity.host, clock,
             [this](telemetry::timeline_event event) { timeline.record(std::move(event)); }),
      identity{settings.identity.mesh, settings.identity.host, clock},
      control_channels(std::make_shared<peer::channel_pool>(control_channel_capacity, links)),
      call_channels(std::make_shared<peer::channel_pool>(call_channel_capacity, links)),
      control(std::make_unique<peer::control_client>(identity, control_channels)),
      queries(std::make_unique<mesh_queries>(*control, mesh, control_timeout)) {
    // A daemon can become ready at version 0, before the first change, so an empty table has to exist.
    routes.store(std::make_shared<const routing::route_table>());
}

pipeline::pipeline(std::unique_ptr<components> started) : m_components(std::move(started)) {}

pipeline::~pipeline() = default;

tl::expected<std::unique_ptr<pipeline>, std::string>
pipeline::start(const settings::daemon_settings& settings) {
    auto daemon = std::make_unique<components>(settings);
    daemon->events.emit(event_number::daemon_starting,
                        {{"failure_domain", settings.identity.failure_domain}});
    auto socket = transport::udp_socket::bind(settings.listeners.gossip);
    if (!socket) {
        return tl::unexpected("gossip listener: " + transport::to_string(socket.error()));
    }
    daemon->gossip = socket->local_endpoint();
    start_call_duties(*daemon);
    peer::peer_server_options peer_options;
    peer_options.listen = settings.listeners.peer;
    auto peer_server = peer::peer_server::start(
        peer_options, daemon->identity,
        make_peer_handlers(make_peer_callbacks(*daemon), *daemon->runner, daemon->events));
    if (!peer_server) {
        return tl::unexpected("peer listener: " + peer_server.error());
    }
    daemon->peer_server = std::move(*peer_server);
    start_configuration_duties(*daemon);
    start_peer_sender_duty(*daemon);
    start_membership_duties(*daemon, std::move(*socket),
                            local_member(settings, daemon->gossip, daemon->peer_server->local_endpoint()));
    daemon->components_ready.count_down();
    register_rings(*daemon);
    register_traffic(*daemon);
    const auto opened = open_http_listeners(*daemon);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    daemon->events.emit(event_number::listener_opened,
                        {{"callers", common::to_string(daemon->caller_server->local_endpoint())},
                         {"operators", common::to_string(daemon->operator_server->local_endpoint())},
                         {"peer", common::to_string(daemon->peer_server->local_endpoint())},
                         {"gossip", common::to_string(daemon->gossip)}});
    return std::unique_ptr<pipeline>(new pipeline(std::move(daemon)));
}

settings::listener_settings pipeline::listeners() const {
    return {m_components->caller_server->local_endpoint(), m_components->operator_server->local_endpoint(),
            m_components->peer_server->local_endpoint(),   m_components->gossip,
            m_components->target_server->local_endpoint(), std::nullopt};
}

void pipeline::reload(const settings::daemon_settings& settings) {
    // Entries that a reload puts into force.
    static constexpr std::array<std::string_view, 1> live_keys{"logging.level"};
    components& daemon = *m_components;
    set_log_level(settings.logging.level);
    report_reload({daemon.settings, daemon.running_settings, settings}, live_keys, daemon.events);
    daemon.running_settings = settings;
}

void pipeline::drain() {
    drain_daemon(*m_components);
}

} // namespace boragehollow::daemon
