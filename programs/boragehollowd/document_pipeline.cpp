#include "document_pipeline.hpp"

#include "document_fronts.hpp"
#include "document_parts.hpp"
#include "translation.hpp"

#include "boragehollow/codec/document_compression.hpp"
#include "boragehollow/codec/member_codec.hpp"
#include "boragehollow/daemon/target_views.hpp"
#include "boragehollow/platform/document_codec.hpp"
#include "boragehollow/platform/document_reader.hpp"
#include "boragehollow/platform/host_registry.hpp"
#include "boragehollow/platform/wire_names.hpp"

#include <peer.pb.h>

#include <algorithm>
#include <utility>

// The one place where the duties are joined when the configuration comes as documents. Read from top to
// bottom:
//   configuration: store -> state_source -> state -> forwarder (routes), membership (version), watch
//                  other daemons <-> state, when the store does not answer this daemon
//   membership:    store -> registry -> membership <-> gossip; membership -> forwarder (targets)
//   target:        target_server -> instance -> forwarder (gate), membership (announcement)
//   calls:         caller -> forwarder -> daemon of the target -> its forwarder -> target

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::size_t state_ring = 64;
constexpr std::size_t instance_ring = 64;
constexpr std::size_t watch_ring_size = 64;

/// All daemons together may repeat a fifth of a service's calls. The calls of a repeated call count as
/// repeats at the service behind it, so that each of two services in a row gets less than half.
constexpr double retry_ratio = 0.08;

/// A queue longer than this is not worth its wait for callers that can come back.
constexpr std::chrono::milliseconds longest_queue_wait{1'000};

/// A log reader tells its whole failure domain of a version up to this size; each datagram has about 100
/// bytes, and a larger domain hears of it from one another.
constexpr std::size_t version_fan_out_of_reader = 64;

/// Each daemon tells a few others, so that a version also spreads where no log reader can be reached.
constexpr std::size_t version_fan_out = 3;

const std::string sync_path = "sync";
const std::string document_path = "document";

/// Sinks wait until all duties exist, since the duties start one after the other.
template <class Sink>
auto when_wired(document_pipeline::parts& all, Sink sink) {
    return [&all, sink = std::move(sink)](auto&&... arguments) {
        all.wired.wait();
        return sink(std::forward<decltype(arguments)>(arguments)...);
    };
}

/// Policy of the services, as the documents state none.
config::service_policy document_policy() {
    config::service_policy policy;
    policy.retry.max_attempts = 10; // The routes state the attempts.
    policy.retry.budget_ratio = retry_ratio;
    policy.retry.min_per_second = 0;
    policy.admission.queue_max_wait = longest_queue_wait;
    policy.admission.order = config::ranked_order{};
    policy.admission.adaptive_limit = false; // The targets state the requests that they run at once.
    policy.ejection.consecutive_failures = 3;
    return policy;
}

/// store -> state_source -> state -> all that use the configuration
void join_configuration(document_pipeline::parts& all) {
    state_sinks sinks;
    sinks.in_force = when_wired(
        all, [&all](const config::state_in_force& state, std::shared_ptr<const routing::route_table> routes) {
            all.snapshot.store(state.snapshot);
            all.forwarder->post(forwarding::configuration_changed{std::move(routes), state.limits});
            all.membership->ring().push_until(local_version_changed{state.snapshot->version},
                                              after(control_wait));
            all.watch->ring().push_newest(config_changed{state.snapshot});
        });
    sinks.fetch = when_wired(all, [&all](const common::endpoint& peer) {
        all.forwarder->post(forwarding::ask_peer{
            peer, document_path, {}, control_wait, [&all](std::optional<std::string> body) {
                if (!body) {
                    return;
                }
                auto document = codec::decompress_document(*body);
                if (!document) {
                    all.events.emit(
                        event_number::peer_message_invalid,
                        {{"request", document_path}, {"detail", codec::to_string(document.error())}});
                    return;
                }
                all.state->ring().try_push(document_received{std::move(*document), true});
            }});
    });
    sinks.read_platform = when_wired(all, [&all] { all.state_source->ring().try_push(read_now{}); });
    all.state = std::make_unique<state_duty>(
        [policy = document_policy()](const std::string& text) {
            return platform::decode_document(text, policy);
        },
        std::move(sinks), state_ring, common::random_source::from_system(), all.events);
    const auto reader =
        std::make_shared<platform::document_reader>(platform::store_client(*all.settings.platform.log));
    all.state_source = std::make_unique<state_source_duty>(
        state_source_settings{},
        document_access{[reader](const std::stop_token& stop) { return reader->newest(stop); },
                        [reader](const std::stop_token& stop) { return reader->poll(stop); }},
        [&all](std::string document) {
            all.state->ring().push_until(document_received{std::move(document), false}, after(control_wait));
        },
        common::random_source::from_system(), all.events);
}

bool follows_platform(const mesh_view& mesh) {
    const std::vector<std::string> readers = mesh.readers(mesh.own_domain);
    return std::find(readers.begin(), readers.end(), mesh.own_host) != readers.end();
}

/// The log readers of a failure domain follow the platform's documents; the others get them from daemons
/// that have them, since each read of the store is charged for.
void choose_reading_mode(document_pipeline::parts& all, const mesh_view& mesh) {
    const bool follows = follows_platform(mesh);
    if (all.follows_platform == follows) {
        return;
    }
    all.follows_platform = follows;
    const reading_mode mode =
        follows ? reading_mode(continuous_reading{}) : reading_mode(reading_on_demand{});
    all.events.emit(follows ? event_number::log_reader_started : event_number::log_reader_stopped);
    all.state_source->ring().push_newest(mode);
    all.state->ring().push_newest(reading_mode_changed{mode});
}

/// Targets whose lists changed since the previous directory.
forwarding::targets_changed changed_targets(const membership::target_directory* previous,
                                            const membership::target_directory& directory) {
    forwarding::targets_changed message;
    for (const auto& [service, targets] : directory.services()) {
        const auto* before = previous == nullptr ? nullptr : &previous->services();
        const auto known = before == nullptr ? decltype(before->find(service)){} : before->find(service);
        if (before != nullptr && known != before->end() && known->second == targets) {
            continue;
        }
        message.services.push_back({service, target_views(*targets)});
    }
    if (previous == nullptr) {
        return message;
    }
    for (const auto& [service, targets] : previous->services()) {
        if (!directory.services().contains(service)) {
            message.services.push_back({service, {}});
        }
    }
    return message;
}

void ask_for_sync(document_pipeline::parts& all, const std::string& host, const common::endpoint& peer,
                  const membership::sync_request& request) {
    peer::v1::SyncRequest message;
    codec::write_sync_request(request, message);
    all.forwarder->post(forwarding::ask_peer{
        peer, sync_path, message.SerializeAsString(), control_wait,
        [&all, host, peer](std::optional<std::string> body) {
            peer::v1::SyncReply reply;
            if (!body || !reply.ParseFromString(*body)) {
                return;
            }
            auto decoded = codec::read_sync_reply(reply);
            if (!decoded) {
                all.events.emit(event_number::peer_message_invalid,
                                {{"from", host}, {"detail", codec::to_string(decoded.error())}});
                return;
            }
            all.membership->ring().try_push(sync_replied{host, peer, std::move(*decoded)});
        }});
}

/// gossip socket -> membership -> forwarder (targets); store -> registry -> membership
void join_membership(document_pipeline::parts& all, transport::udp_socket socket) {
    const settings::daemon_settings& settings = all.settings;
    membership::member self = own_member(settings, socket.local(), all.forwarder->peers());
    all.gossip = self.gossip;
    membership_sinks sinks;
    sinks.sync = when_wired(
        all, [&all](const std::string& host, const common::endpoint& peer,
                    const membership::sync_request& request) { ask_for_sync(all, host, peer, request); });
    sinks.directory = when_wired(all, [&all](std::shared_ptr<const membership::target_directory> directory) {
        auto message = changed_targets(all.directory.get(), *directory);
        if (message.services.empty() || all.forwarder->post(std::move(message))) {
            all.directory = std::move(directory);
        }
    });
    sinks.mesh = when_wired(all, [&all](std::shared_ptr<const mesh_view> mesh) {
        all.hosts.clear();
        for (const auto& [host, member] : mesh->hosts) {
            all.hosts.emplace(host, known_peer{member->peer, member->failure_domain == mesh->own_domain});
        }
        choose_reading_mode(all, *mesh);
        all.mesh.store(std::move(mesh));
    });
    sinks.version_heard = when_wired(all, [&all](const std::string& host, common::revision version) {
        const auto known = all.hosts.find(host);
        if (known != all.hosts.end()) {
            all.state->ring().try_push(
                newer_version_seen{known->second.address, version, known->second.same_domain});
        }
    });
    membership::engine_settings engine_settings = engine_settings_of(settings);
    engine_settings.version_fan_out_of_reader = version_fan_out_of_reader;
    engine_settings.version_fan_out = version_fan_out;
    membership::membership_engine engine(std::move(self), settings.gossip.seeds, engine_settings,
                                         common::random_source::from_system(), common::steady_clock::now());
    all.membership = std::make_unique<membership_duty>(
        std::move(engine), std::move(socket), settings.identity.mesh, all.clock, all.links,
        settings.rings.membership, std::move(sinks), all.events);
    const platform::host_registry registry{platform::store_client(*settings.platform.log)};
    all.registry = std::make_unique<registry_duty>(
        registry_access{[registry, host = settings.identity.host, gossip = all.gossip](
                            const std::stop_token& stop) { return registry.enter(host, gossip, stop); },
                        [registry](const std::stop_token& stop) { return registry.list(stop); },
                        [&all] {
                            const auto mesh = all.mesh.load();
                            return !mesh || mesh->hosts.size() <= 1 ||
                                   mesh->count(membership::member_state::alive) <= 1;
                        },
                        [&all] {
                            const auto mesh = all.mesh.load();
                            return !mesh || follows_platform(*mesh);
                        }},
        when_wired(all,
                   [&all](std::vector<common::endpoint> seeds) {
                       all.membership->ring().push_until(seeds_found{std::move(seeds)}, after(control_wait));
                   }),
        common::random_source::from_system(), all.events);
}

membership::target_announcement announcement_of(const std::optional<admission::current_instance>& instance) {
    membership::target_announcement announced;
    if (!instance) {
        announced.state = membership::target_state::gone;
        return announced;
    }
    announced.service = instance->service;
    announced.slots = instance->slots;
    announced.state = instance->state == admission::target_state::ready ? membership::target_state::ready
                                                                        : membership::target_state::draining;
    return announced;
}

/// target_server -> instance -> forwarder and membership
void join_target(document_pipeline::parts& all) {
    const settings::daemon_settings& settings = all.settings;
    admission::ledger_settings ledger;
    ledger.service = settings.target.service.value_or("");
    ledger.address = settings.target.address;
    ledger.silence = settings.timing.heartbeat * settings.timing.missed_heartbeats;
    all.instance = std::make_unique<instance_duty>(
        std::move(ledger),
        when_wired(all,
                   [&all](const std::optional<admission::current_instance>& instance) {
                       std::optional<forwarding::target_instance> local;
                       if (instance) {
                           local =
                               forwarding::target_instance{instance->id, instance->address, instance->service,
                                                           instance->slots, instance->state};
                       }
                       all.forwarder->post(forwarding::local_instance_changed{std::move(local)});
                       membership::target_announcement announced = announcement_of(instance);
                       if (all.stopping) {
                           announced.state = membership::target_state::draining;
                       }
                       all.membership->ring().push_until(local_announcement_changed{std::move(announced)},
                                                         after(control_wait));
                   }),
        instance_ring, all.events);
}

/// Control requests of other daemons. Called on the forwarder's thread, so nothing here waits.
void answer_peer(document_pipeline::parts& all, const std::string& path, const std::string& body,
                 std::function<void(std::optional<std::string>)> answer) {
    if (path == document_path) {
        const auto document = all.state->document();
        if (!document) {
            answer(std::nullopt);
            return;
        }
        if (all.compressed.version != document->version) {
            all.compressed = {document->version, codec::compress_document(document->document)};
        }
        answer(all.compressed.bytes);
        return;
    }
    peer::v1::SyncRequest message;
    const bool parsed = path == sync_path && message.ParseFromString(body);
    auto request = parsed ? codec::read_sync_request(message)
                          : tl::expected<membership::sync_request, codec::decode_error>();
    if (!parsed || !request) {
        all.events.emit(event_number::peer_message_invalid, {{"request", path}});
        answer(std::nullopt);
        return;
    }
    all.membership->ring().try_push(
        sync_asked{std::move(*request), [answer = std::move(answer)](const membership::sync_reply& reply) {
                       peer::v1::SyncReply encoded;
                       codec::write_sync_reply(reply, encoded);
                       answer(encoded.SerializeAsString());
                   }});
}

/// caller -> forwarder -> daemon of the target -> target
tl::expected<void, std::string> join_calls(document_pipeline::parts& all) {
    const settings::daemon_settings& settings = all.settings;
    forwarding::forwarder_settings forwarding;
    forwarding.callers = settings.listeners.callers;
    forwarding.peers = settings.listeners.peer;
    forwarding.router.host = settings.identity.host;
    forwarding.router.service = settings.target.service.value_or("");
    forwarding.router.names = platform::wire_header_names();
    forwarding.router.balancing = {settings.identity.failure_domain, settings.calls.key_window};
    forwarding.admission = {settings.calls.longest_deadline, settings.calls.key_window};
    forwarding.link_megabits = settings.limits.link_megabits;
    forwarding.ring_size = settings.rings.dispatch;
    forwarding::forwarder_sinks sinks;
    sinks.peer_request = when_wired(all, [&all](const std::string& path, const std::string& body,
                                                std::function<void(std::optional<std::string>)> answer) {
        answer_peer(all, path, body, std::move(answer));
    });
    sinks.newer_config = when_wired(all, [&all](const common::endpoint& peer, common::revision version) {
        all.state->ring().try_push(newer_version_seen{peer, version});
    });
    sinks.target_unreachable =
        when_wired(all, [&all] { all.instance->ring().try_push(instance_unreachable{}); });
    auto started = forwarding::forwarder::start(forwarding, std::move(sinks), all.events, all.metrics);
    if (!started) {
        return tl::unexpected(started.error());
    }
    all.forwarder = std::move(*started);
    return {};
}

} // namespace

document_pipeline::parts::parts(settings::daemon_settings given)
    : settings(std::move(given)), timeline(settings.rings.timeline, settings.limits.timeline_events),
      events(settings.identity.host, clock,
             [this](telemetry::timeline_event event) { timeline.record(std::move(event)); }) {}

document_pipeline::document_pipeline(std::unique_ptr<parts> started) : m_parts(std::move(started)) {}

document_pipeline::~document_pipeline() = default;

tl::expected<std::unique_ptr<document_pipeline>, std::string>
document_pipeline::start(const settings::daemon_settings& settings) {
    if (!settings.platform.log) {
        return tl::unexpected<std::string>(
            "platform.log is required where the configuration comes as documents");
    }
    auto all = std::make_unique<parts>(settings);
    all->events.emit(event_number::daemon_starting, {{"failure_domain", settings.identity.failure_domain}});
    auto socket = transport::udp_socket::bind(settings.listeners.gossip);
    if (!socket) {
        return tl::unexpected("gossip listener: " + transport::to_string(socket.error()));
    }
    all->watch = std::make_unique<watch_duty>(watch_ring_size);
    const auto joined = join_calls(*all);
    if (!joined) {
        return tl::unexpected(joined.error());
    }
    join_configuration(*all);
    join_target(*all);
    join_membership(*all, std::move(*socket));
    all->wired.count_down();
    const auto opened = open_http_sources(*all);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    all->events.emit(event_number::listener_opened,
                     {{"callers", common::to_string(all->forwarder->callers())},
                      {"peer", common::to_string(all->forwarder->peers())},
                      {"operators", common::to_string(all->operator_server->local())}});
    return std::unique_ptr<document_pipeline>(new document_pipeline(std::move(all)));
}

settings::listener_settings document_pipeline::listeners() const {
    settings::listener_settings bound = m_parts->settings.listeners;
    bound.callers = m_parts->forwarder->callers();
    bound.peer = m_parts->forwarder->peers();
    bound.gossip = m_parts->gossip;
    bound.operators = m_parts->operator_server->local();
    bound.target = m_parts->target_server->local();
    if (m_parts->readiness_server) {
        bound.readiness = m_parts->readiness_server->local();
    }
    return bound;
}

} // namespace boragehollow::daemon
