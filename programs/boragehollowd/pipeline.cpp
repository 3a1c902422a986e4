#include "pipeline.hpp"

#include "http_sources.hpp"
#include "parts.hpp"
#include "shutdown.hpp"
#include "translation.hpp"

#include <algorithm>
#include <utility>

// The one place where the duties are joined. Read from top to bottom, it follows
//   configuration: platform log -> log_reader -> spreading -> apply -> dispatch, admission, publisher, watch
//                  peers <-> peer_sender, peer_front <-> spreading
//   membership:    gossip socket -> membership -> dispatch (targets), spreading (peers), mesh view
//   calls:         caller -> caller_front -> call_runner (dispatch) -> peer or target_runner (admission) ->
//   target

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::chrono::milliseconds control_wait{1'000};
constexpr std::chrono::seconds apply_wait{5};
constexpr std::chrono::seconds publish_limit{10};
constexpr std::size_t control_channel_capacity = 64;
constexpr std::size_t call_channel_capacity = 512;
constexpr std::size_t watch_ring_size = 256;
constexpr std::chrono::seconds pull_timeout{8};

common::steady_time after(std::chrono::milliseconds wait) {
    return common::steady_clock::now() + wait;
}

/// The local target changed: admission decides by it, the runner connects to it, and the mesh hears of it.
void announce_target(pipeline::parts& all, const std::optional<announcement>& target) {
    std::optional<admission::local_target> local;
    membership::target_announcement announced;
    if (target) {
        local = admission::local_target{target->target.service, target->target.slots,
                                        admission_state(target->target.state)};
        announced = target->target;
        all.runner->set_target(target->address);
    } else {
        announced.state = membership::target_state::gone;
    }
    all.admission->ring().push_until(local_target_changed{std::move(local)}, after(control_wait));
    all.membership->ring().push_until(local_announcement_changed{std::move(announced)}, after(control_wait));
}

/// Sinks wait until all duties exist, since the duties start one after the other.
template <class Sink>
auto when_wired(pipeline::parts& all, Sink sink) {
    return [&all, sink = std::move(sink)](auto&&... arguments) {
        all.wired.wait();
        return sink(std::forward<decltype(arguments)>(arguments)...);
    };
}

/// A new state is in force: everything that serves calls or answers operators gets it. False when one of them
/// had no room; the apply duty then repeats the notice.
bool distribute_state(pipeline::parts& all, const codec::snapshot_pointer& state) {
    all.snapshot.store(state);
    all.routes.store(std::make_shared<routing::route_table>(routing::route_table::build(state)));
    all.watch->ring().push_newest(config_changed{state});
    return all.dispatch->ring().push_until(config_changed{state}, after(apply_wait)) &&
           all.admission->ring().push_until(config_changed{state}, after(apply_wait)) &&
           all.publisher->ring().push_until(config_changed{state}, after(apply_wait)) &&
           all.spreading->ring().push_until(state_applied{state}, after(apply_wait)) &&
           all.membership->ring().push_until(local_version_changed{state->version}, after(apply_wait));
}

/// platform log -> log_reader -> spreading -> apply -> all that use the configuration
void join_configuration(pipeline::parts& all) {
    const settings::daemon_settings& settings = all.settings;
    all.publisher = std::make_unique<publisher_duty>(make_log_client(all), settings.platform,
                                                     common::random_source::from_system(),
                                                     settings.rings.publisher, all.events);
    all.log_reader = std::make_unique<log_reader_duty>(
        make_log_client(all), settings.platform, common::random_source::from_system(),
        settings.rings.log_reader,
        when_wired(all,
                   [&all](spreading_message message) {
                       all.spreading->ring().push_until(std::move(message), after(apply_wait));
                   }),
        all.events);

    apply_sinks applied;
    applied.applied = when_wired(
        all, [&all](const codec::snapshot_pointer& state) { return distribute_state(all, state); });
    applied.refused =
        when_wired(all, [&all] { all.spreading->ring().push_until(handover_refused{}, after(apply_wait)); });
    all.apply = std::make_unique<apply_duty>(settings.rings.apply, std::move(applied), all.events);

    spreading_sinks spread;
    spread.push = when_wired(
        all, [&all](spreading::push message) { all.peer_sender->ring().push_newest(std::move(message)); });
    spread.pull = when_wired(
        all, [&all](spreading::pull message) { all.peer_sender->ring().push_newest(std::move(message)); });
    spread.apply = when_wired(all, [&all](apply_message message) {
        return all.apply->ring().push_until(std::move(message), after(apply_wait));
    });
    spread.log_reader = when_wired(
        all, [&all](log_reader_message message) { all.log_reader->ring().push_newest(std::move(message)); });
    spread.readiness = when_wired(all, [&all](bool ready) {
        all.state.ready = ready;
        all.events.emit(ready ? event_number::daemon_ready : event_number::daemon_not_ready);
    });
    all.spreading = std::make_unique<spreading_duty>(spreading_settings_of(settings),
                                                     common::random_source::from_system(),
                                                     settings.rings.spreading, std::move(spread), all.events);
}

/// Control requests to other daemons, and their answers back to the duty that asked.
void join_peer_sender(pipeline::parts& all) {
    peer_sender_sinks sinks;
    sinks.pulled = when_wired(all, [&all](std::uint64_t id, const std::string& peer,
                                          tl::expected<spreading::pull_answer, std::string> answer) {
        if (answer) {
            all.spreading->ring().try_push(pull_answered{id, peer, std::move(*answer)});
        } else {
            all.spreading->ring().try_push(pull_failed{id});
        }
    });
    sinks.synced = when_wired(
        all, [&all](const send_sync& request, tl::expected<membership::sync_reply, std::string> reply) {
            if (reply) {
                all.membership->ring().try_push(sync_replied{request.host, request.peer, std::move(*reply)});
            }
        });
    const settings::daemon_settings& settings = all.settings;
    all.peer_sender = std::make_unique<peer_sender_duty>(
        peer_sender_settings{settings.timing.peer_request_timeout, pull_timeout, settings.rings.peer_sender},
        *all.control, all.mesh, std::move(sinks));
}

/// gossip socket -> membership -> dispatch (targets) and spreading (peers)
void join_membership(pipeline::parts& all, transport::udp_socket socket, membership::member self) {
    const settings::daemon_settings& settings = all.settings;
    membership_sinks sinks;
    sinks.sync = when_wired(
        all, [&all](const std::string& host, const common::endpoint& peer, membership::sync_request request) {
            all.peer_sender->ring().push_newest(send_sync{host, peer, std::move(request)});
        });
    sinks.directory = when_wired(all, [&all](std::shared_ptr<const membership::target_directory> directory) {
        all.dispatch->ring().push_until(targets_changed{std::move(directory)}, after(control_wait));
    });
    sinks.mesh = when_wired(all, [&all](std::shared_ptr<const mesh_view> mesh) {
        all.spreading->ring().push_until(peers_for_spreading(*mesh, all.settings.baseline),
                                         after(control_wait));
        all.mesh.store(std::move(mesh));
    });
    sinks.version_heard = when_wired(all, [&all](const std::string& host, common::revision version) {
        all.spreading->ring().try_push(version_heard{host, version});
    });
    membership::membership_engine engine(std::move(self), settings.gossip.seeds, engine_settings_of(settings),
                                         common::random_source::from_system(), common::steady_clock::now());
    all.membership = std::make_unique<membership_duty>(
        std::move(engine), std::move(socket), settings.identity.mesh, all.clock, all.links,
        settings.rings.membership, std::move(sinks), all.events);
}

/// caller_front -> call_runner -> dispatch; peer or caller -> target_runner -> admission; target ->
/// target_front
void join_calls(pipeline::parts& all) {
    const settings::daemon_settings& settings = all.settings;
    all.dispatch = std::make_unique<dispatch_duty>(
        balancing::balancer_settings{settings.identity.failure_domain, settings.calls.key_window},
        common::random_source::from_system(), settings.rings.dispatch);
    all.admission = std::make_unique<admission_duty>(
        admission::admission_settings{settings.calls.longest_deadline, settings.calls.key_window},
        settings.rings.admission, settings.baseline.admission == settings::admission_mode::off_shared_fifo);
    target_runner_settings runner_settings;
    runner_settings.max_idle_connections = settings.limits.target_connections;
    all.runner = std::make_unique<target_runner>(runner_settings, *all.admission, all.metrics);
    all.calls = std::make_unique<call_runner>(
        call_runner_settings{settings.identity.host, settings.timing.connect_timeout}, *all.dispatch,
        *all.runner, all.call_channels, all.identity, all.metrics);
    all.callers = std::make_unique<caller_front>(caller_front_settings{settings.calls.longest_deadline},
                                                 all.state, all.routes, *all.calls, all.metrics);
    all.watch = std::make_unique<watch_duty>(watch_ring_size);

    target_front_settings front_settings;
    front_settings.heartbeat = settings.timing.heartbeat;
    front_settings.missed_heartbeats = settings.timing.missed_heartbeats;
    front_settings.ring_size = settings.rings.target_front;
    all.target = std::make_unique<target_front_duty>(
        front_settings,
        when_wired(all, [&all](const std::optional<announcement>& target) { announce_target(all, target); }),
        all.events);
    all.announcements = std::make_unique<target_front>(*all.target);
}

peer_front_services peer_services(pipeline::parts& all) {
    peer_front_services services;
    services.failure_domain = all.settings.identity.failure_domain;
    services.push =
        when_wired(all, [&all](const std::string& from, std::vector<spreading::log_record> records) {
            return all.spreading->ring().try_push(push_from_peer{from, std::move(records)});
        });
    services.pull = when_wired(all, [&all](const spreading::pull_request& request) {
        return all.spreading->answer_pull(request, after(control_wait));
    });
    services.sync = when_wired(all, [&all](const membership::sync_request& request) {
        return all.membership->answer_sync(request, after(control_wait));
    });
    services.progress = when_wired(all, [&all](common::revision version) {
        return all.membership->progress(version, after(control_wait));
    });
    services.timeline = when_wired(all, [&all](std::optional<common::hybrid_time> since, std::size_t limit) {
        return all.timeline.query(since, limit, after(control_wait));
    });
    return services;
}

daemon_status status_of(pipeline::parts& all) {
    daemon_status status;
    status.host = all.settings.identity.host;
    status.failure_domain = all.settings.identity.failure_domain;
    status.ready = all.state.ready;
    status.stopping = all.state.stopping;
    if (const auto mesh = all.mesh.load()) {
        const auto readers = mesh->readers(mesh->own_domain);
        status.log_reader = std::find(readers.begin(), readers.end(), mesh->own_host) != readers.end();
        status.compactor = mesh->compactor() == mesh->own_host;
        status.alive = mesh->count(membership::member_state::alive);
        status.suspect = mesh->count(membership::member_state::suspect);
        status.dead = mesh->count(membership::member_state::dead);
    }
    const query_target question;
    if (all.target->ring().try_push(question)) {
        status.target = question.reply.wait_until(after(control_wait)).value_or(std::nullopt);
    }
    return status;
}

std::vector<host_timeline> timelines_of(pipeline::parts& all, std::optional<common::hybrid_time> since,
                                        std::size_t limit, bool whole_mesh) {
    if (whole_mesh) {
        return all.queries->timelines(since, limit);
    }
    auto page = all.timeline.query(since, limit, after(control_wait));
    host_timeline own{all.settings.identity.host, page.has_value(), {}};
    if (page) {
        own.page = std::move(*page);
    }
    return {std::move(own)};
}

operator_services services_for_operators(pipeline::parts& all) {
    operator_services services;
    services.publish = [&all](const config::change& change) {
        return all.publisher->publish(change, after(publish_limit));
    };
    services.snapshot = [&all] { return all.snapshot.load(); };
    services.progress = [&all](common::revision version) { return all.queries->progress(version); };
    services.timeline = [&all](std::optional<common::hybrid_time> since, std::size_t limit, bool whole_mesh) {
        return timelines_of(all, since, limit, whole_mesh);
    };
    services.status = [&all] { return status_of(all); };
    services.metrics = [&all] { return all.metrics.render(common::steady_clock::now()); };
    services.watch = [&all](open_watch watch) { return all.watch->ring().try_push(std::move(watch)); };
    if (all.settings.testing.allow_fault_injection) {
        services.block_links = [&all](std::set<common::endpoint> blocked) {
            all.links->block_only(std::move(blocked));
        };
    }
    return services;
}

void register_rings(pipeline::parts& all) {
    const auto add = [&all](const std::string& name, auto& duty) {
        all.metrics.add_ring(name, [&duty] { return duty.ring().stats(); });
    };
    add("log_reader", *all.log_reader);
    add("spreading", *all.spreading);
    add("apply", *all.apply);
    add("publisher", *all.publisher);
    add("membership", *all.membership);
    add("dispatch", *all.dispatch);
    add("admission", *all.admission);
    add("target_front", *all.target);
    add("watch", *all.watch);
    add("peer_sender", *all.peer_sender);
    add("timeline", all.timeline);
}

/// Bytes and messages of the control plane. Reads of the platform log are counted by the platform.
void register_traffic(pipeline::parts& all) {
    const auto add = [&all](const std::string& transport, const common::traffic_counter& traffic) {
        const auto series = [&](const std::string& name, const std::string& direction, auto member) {
            all.metrics.add_computed_gauge(
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
    add("gossip", all.membership->traffic());
    add("peer_client", all.control->traffic());
    add("peer_server", all.peer_server->control_traffic());
}

/// The sources of calls, announcements and operators' requests.
tl::expected<void, std::string> open_http_sources(pipeline::parts& all) {
    const auto& [callers, operators, peer, gossip, target, readiness] = all.settings.listeners;
    const settings::limit_settings& limits = all.settings.limits;
    auto opened = open_http(all, {"target", target, limits.target_threads, target_silence},
                            counted(all, "target", [&all](web::server_exchange& exchange) {
                                all.announcements->serve(exchange);
                            }));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    all.target_server = std::move(*opened);
    operator_front_settings front_settings;
    front_settings.max_body_bytes = limits.operator_body_bytes;
    all.operators = std::make_unique<operator_front>(front_settings, services_for_operators(all), all.events);
    opened = open_http(all, {"operators", operators, limits.operator_threads, operator_silence},
                       counted(all, "operators",
                               [&all](web::server_exchange& exchange) { all.operators->serve(exchange); }));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    all.operator_server = std::move(*opened);
    opened = open_http(all, {"callers", callers, limits.caller_threads, caller_silence},
                       [&all](web::server_exchange& exchange) { all.callers->serve(exchange); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    all.caller_server = std::move(*opened);
    return {};
}

} // namespace

pipeline::parts::parts(settings::daemon_settings given)
    : settings(std::move(given)), timeline(settings.rings.timeline, settings.limits.timeline_events),
      events(settings.identity.host, clock,
             [this](telemetry::timeline_event event) { timeline.record(std::move(event)); }),
      identity{settings.identity.mesh, settings.identity.host, clock},
      control_channels(std::make_shared<peer::channel_pool>(control_channel_capacity, links)),
      call_channels(std::make_shared<peer::channel_pool>(call_channel_capacity, links)),
      control(std::make_unique<peer::control_client>(identity, control_channels)),
      queries(std::make_unique<mesh_queries>(*control, mesh, control_wait)) {
    // A daemon becomes ready at version 0, before the first change.
    routes.store(std::make_shared<const routing::route_table>());
}

pipeline::pipeline(std::unique_ptr<parts> started) : m_parts(std::move(started)) {}

pipeline::~pipeline() = default;

tl::expected<std::unique_ptr<pipeline>, std::string>
pipeline::start(const settings::daemon_settings& settings) {
    auto all = std::make_unique<parts>(settings);
    all->events.emit(event_number::daemon_starting, {{"failure_domain", settings.identity.failure_domain}});
    auto socket = transport::udp_socket::bind(settings.listeners.gossip);
    if (!socket) {
        return tl::unexpected("gossip listener: " + transport::to_string(socket.error()));
    }
    all->gossip = socket->local();
    join_calls(*all);
    peer::peer_server_options peer_options;
    peer_options.listen = settings.listeners.peer;
    auto peer_server = peer::peer_server::start(
        peer_options, all->identity, make_peer_handlers(peer_services(*all), *all->runner, all->events));
    if (!peer_server) {
        return tl::unexpected("peer listener: " + peer_server.error());
    }
    all->peer_server = std::move(*peer_server);
    join_configuration(*all);
    join_peer_sender(*all);
    join_membership(*all, std::move(*socket), own_member(settings, all->gossip, all->peer_server->local()));
    all->wired.count_down();
    register_rings(*all);
    register_traffic(*all);
    const auto opened = open_http_sources(*all);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    all->events.emit(event_number::listener_opened,
                     {{"callers", common::to_string(all->caller_server->local())},
                      {"operators", common::to_string(all->operator_server->local())},
                      {"peer", common::to_string(all->peer_server->local())},
                      {"gossip", common::to_string(all->gossip)}});
    return std::unique_ptr<pipeline>(new pipeline(std::move(all)));
}

settings::listener_settings pipeline::listeners() const {
    return {m_parts->caller_server->local(), m_parts->operator_server->local(),
            m_parts->peer_server->local(),   m_parts->gossip,
            m_parts->target_server->local(), std::nullopt};
}

void pipeline::drain() {
    drain_parts(*m_parts);
}

} // namespace boragehollow::daemon
