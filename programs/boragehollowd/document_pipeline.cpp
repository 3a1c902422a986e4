#include "document_pipeline.hpp"

#include "conversions.hpp"
#include "document_listeners.hpp"
#include "document_pipeline_components.hpp"
#include "document_quota.hpp"
#include "document_registry.hpp"
#include "document_rollout.hpp"
#include "document_settings.hpp"
#include "document_sync.hpp"
#include "forwarding_limits.hpp"

#include "boragehollow/codec/member_codec.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/daemon/target_views.hpp"
#include "boragehollow/platform/document_codec.hpp"
#include "boragehollow/platform/document_reader.hpp"
#include "boragehollow/platform/header_names.hpp"

#include <peer.pb.h>

#include <algorithm>
#include <functional>
#include <utility>

// Creates and connects all duties of a daemon whose configuration comes as documents:
//   configuration: store -> state_source -> state -> forwarder (routes), membership (version), watch
//                  other daemons <-> state, when the store does not respond to this daemon
//   membership:    store -> registry -> membership <-> gossip; membership -> forwarder (targets)
//   target:        target_server -> instance -> forwarder (admission), membership (announcement)
//   calls:         caller -> forwarder -> daemon of the target -> its forwarder -> target

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::size_t state_ring_size = 64;
constexpr std::size_t instance_ring_size = 64;
constexpr std::size_t watch_ring_size = 64;

/// All daemons together may retry a fifth of a service's calls; the calls that a retried call makes count as
/// retries at the service behind it. The daemon beside each target keeps the ratio, so that the first of two
/// services in a row takes half of it and the second one the rest.
constexpr admission::repeat_ratios repeat_ratios{.max_retries = 0.1, .max_repeated_work = 0.16};

/// A daemon's own budget only saves requests that the targets' daemons would refuse.
constexpr double retry_budget_ratio = 0.16;

/// Callers that can retry later gain nothing from a longer wait in the queue.
constexpr std::chrono::milliseconds max_queue_wait{1'000};

/// A log reader sends a new version to its whole failure domain if the domain has at most this many members.
/// Each datagram has about 100 bytes. In a larger domain, members pass the version on to each other.
constexpr std::size_t version_fan_out_of_reader = 64;

/// Each daemon sends a new version to a few others, so that it also spreads when no log reader is reachable.
constexpr std::size_t version_fan_out = 3;

/// An order and its plan reach all daemons within about a second; targets are slow for 3 s after their start.
constexpr std::chrono::milliseconds version_hold{3'000};

const std::string document_path = "document";

/// Policy of all services, since the documents do not contain any.
config::service_policy document_policy(const settings::call_settings& calls) {
    config::service_policy policy;
    if (calls.balancing == settings::balancing_choice::load_aware) {
        policy.balancing = config::load_aware{};
    }
    policy.retry.max_attempts = 10; // The actual number of attempts is part of the routes.
    policy.retry.budget_ratio = retry_budget_ratio;
    policy.retry.min_per_second = 0;
    policy.admission.queue_max_wait = max_queue_wait;
    policy.admission.order = config::priority_queueing{};
    policy.admission.adaptive_limit = false; // The targets announce their concurrency limits.
    policy.ejection.consecutive_failures = 3;
    return policy;
}

/// store -> state_source -> state -> all users of the configuration
void start_configuration_duties(document_pipeline::components& daemon) {
    state_sinks sinks;
    sinks.activated =
        when_components_ready(daemon, [&daemon](const config::active_config& state,
                                                std::shared_ptr<const routing::route_table> routes) {
            daemon.snapshot.store(state.snapshot);
            daemon.forwarder->deliver(forwarding::configuration_changed{
                std::move(routes), state.limits,
                std::make_shared<const accounts::account_index>(state.accounts, state.snapshot->version)});
            daemon.state_source->ring().try_push(configuration_present{});
            daemon.watch->ring().push_newest(config_changed{state.snapshot});
        });
    sinks.fetch = when_components_ready(daemon, [&daemon](const common::endpoint& peer) {
        daemon.forwarder->post(forwarding::send_control_request{
            peer, document_path, {}, control_timeout, [&daemon](std::optional<std::string> body) {
                if (body) {
                    daemon.state->ring().try_push(peer_document_received{std::move(*body)});
                }
            }});
    });
    sinks.read_platform =
        when_components_ready(daemon, [&daemon] { daemon.state_source->ring().try_push(read_now{}); });
    sinks.available = when_components_ready(daemon, [&daemon](common::revision version) {
        daemon.membership->ring().push_until(local_version_changed{version}, deadline_after(control_timeout));
    });
    sinks.confirmed = when_components_ready(daemon, [&daemon](common::steady_time read_at) {
        daemon.membership->ring().try_push(log_read_confirmed{read_at});
    });
    const auto decoder = std::make_shared<platform::document_decoder>(document_policy(daemon.settings.calls));
    daemon.state = std::make_unique<state_duty>(
        document_decoding{[decoder](const std::string& text) { return decoder->decode_version(text); },
                          [decoder](const std::string& text) { return decoder->decode(text); }},
        std::move(sinks), state_ring_size, common::random_source::from_system(), daemon.events);
    const auto reader =
        std::make_shared<platform::document_reader>(make_store_client(daemon), rollout_order_sinks(daemon));
    daemon.state_source = std::make_unique<state_source_duty>(
        state_source_settings{},
        document_access{[reader](const std::stop_token& stop) { return reader->newest(stop); },
                        [reader](std::chrono::milliseconds wait, const std::stop_token& stop) {
                            return reader->poll(wait, stop);
                        }},
        state_source_sinks{[&daemon](std::vector<std::string> documents) {
                               daemon.state->ring().push_until(documents_received{std::move(documents)},
                                                               deadline_after(control_timeout));
                           },
                           [&daemon](bool reachable) {
                               daemon.state->ring().push_until(platform_reachability{reachable},
                                                               deadline_after(control_timeout));
                           },
                           [&daemon](common::steady_time read_at) {
                               daemon.state->ring().try_push(platform_read{read_at});
                           }},
        common::random_source::from_system(), daemon.events);
}

reading_mode reading_mode_of(const mesh_view& mesh) {
    if (const auto position = mesh.own_reader_position()) {
        return continuous_reading{*position};
    }
    return mesh.substitutes_reader ? reading_mode(substitute_reading{}) : reading_mode(reading_on_demand{});
}

event_number event_of(const reading_mode& mode) {
    return std::visit(
        common::overloaded{[](const continuous_reading&) { return event_number::log_reader_started; },
                           [](const substitute_reading&) { return event_number::log_reader_substituted; },
                           [](const reading_on_demand&) { return event_number::log_reader_stopped; }},
        mode);
}

/// The log readers of a failure domain read the platform's documents continuously. The other daemons fetch
/// them from daemons that have them, since the platform charges for each read of the store.
void update_reading_mode(document_pipeline::components& daemon, const mesh_view& mesh) {
    if (!mesh.complete) {
        // A daemon that knows few others would take roles that others have.
        return;
    }
    const reading_mode mode = reading_mode_of(mesh);
    if (daemon.reading == mode) {
        return;
    }
    const bool role_changed = !daemon.reading || daemon.reading->index() != mode.index();
    daemon.reading = mode;
    daemon.state_source->ring().push_newest(mode);
    if (!role_changed) {
        return;
    }
    daemon.events.emit(event_of(mode));
    daemon.state->ring().push_newest(reading_mode_changed{mode});
}

/// Returns the services whose target lists differ from the previous directory.
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

/// gossip socket -> membership -> forwarder (targets); store -> registry -> membership
void start_membership_duties(document_pipeline::components& daemon, transport::udp_socket socket) {
    const settings::daemon_settings& settings = daemon.settings;
    membership::member self =
        local_member(settings, socket.local_endpoint(), daemon.forwarder->peer_endpoint());
    daemon.gossip = self.gossip;
    membership_sinks sinks;
    sinks.sync =
        when_components_ready(daemon, [&daemon](const std::string& host, const common::endpoint& peer,
                                                const membership::sync_request& request) {
            send_sync_request(daemon, host, peer, request);
        });
    sinks.directory = when_components_ready(
        daemon, [&daemon](std::shared_ptr<const membership::target_directory> directory, bool complete) {
            if (daemon.rollout) {
                daemon.targets.store(directory);
            }
            auto message = changed_targets(daemon.directory.get(), *directory);
            message.complete = complete;
            const bool no_change =
                message.services.empty() && (!complete || daemon.forwarder->knows_targets());
            if (no_change || daemon.forwarder->post(std::move(message))) {
                daemon.directory = std::move(directory);
            }
        });
    sinks.mesh = when_components_ready(daemon, [&daemon](std::shared_ptr<const mesh_view> mesh) {
        daemon.hosts.clear();
        for (const auto& [host, member] : mesh->hosts) {
            daemon.hosts.emplace(host, known_peer{member->peer, member->failure_domain == mesh->own_domain});
        }
        update_reading_mode(daemon, *mesh);
        const bool known = mesh->complete;
        update_quota_members(daemon, *mesh);
        daemon.mesh.store(std::move(mesh));
        if (daemon.rollout && known && !std::exchange(daemon.mesh_known, true)) {
            daemon.rollout->ring().try_push(mesh_known{});
        }
    });
    sinks.version_observed =
        when_components_ready(daemon, [&daemon](const std::string& host, common::revision version) {
            const auto known = daemon.hosts.find(host);
            if (known != daemon.hosts.end()) {
                daemon.state->ring().try_push(
                    newer_version_observed{known->second.address, version, known->second.same_domain});
            }
        });
    sinks.log_epoch_observed =
        when_components_ready(daemon, [&daemon](std::uint64_t epoch) { record_log_epoch(daemon, epoch); });
    sinks.replicate = when_components_ready(
        daemon, [&daemon](const membership::member& keeper, const membership::sync_request& entry,
                          const common::save_progress::attempt_ref& attempt) {
            replicate_entry(daemon, keeper, entry, attempt);
        });
    sinks.withdrawals_received =
        when_components_ready(daemon, [&daemon](std::vector<common::withdrawn_instance> withdrawn) {
            daemon.instance->ring().try_push(history_restored{history_source::mesh, std::move(withdrawn)});
        });
    membership::membership_settings membership_settings = membership_settings_of(settings);
    membership_settings.version_fan_out_of_reader = version_fan_out_of_reader;
    membership_settings.version_fan_out = version_fan_out;
    membership_settings.reader_substitution.emplace();
    membership::membership_engine engine(std::move(self), settings.gossip.seeds, membership_settings,
                                         common::random_source::from_system(), common::steady_clock::now());
    daemon.membership = std::make_unique<membership_duty>(
        std::move(engine), std::move(socket), settings.identity.mesh, daemon.clock, daemon.links,
        settings.rings.membership, std::move(sinks), daemon.events);
    daemon.metrics.add_computed_gauge(
        "boragehollow_config_age_seconds",
        "Time since the active configuration was last known to be the newest; -1 when unknown.", {},
        [&daemon] {
            const auto age = daemon.membership->configuration_age(common::steady_clock::now());
            return age ? std::chrono::duration<double>(*age).count() : -1.0;
        });
    start_registry_duty(daemon);
}

membership::target_announcement announcement_of(const std::optional<admission::current_instance>& instance,
                                                bool with_version) {
    membership::target_announcement announced;
    if (!instance) {
        announced.state = membership::target_state::gone;
        return announced;
    }
    announced.service = instance->service;
    announced.slots = instance->slots;
    announced.state = instance->state == admission::target_state::ready ? membership::target_state::ready
                                                                        : membership::target_state::draining;
    if (with_version && !instance->version.empty()) {
        announced.labels.emplace(balancing::version_label, instance->version);
    }
    return announced;
}

/// target_server -> instance -> forwarder and membership
void start_instance_duty(document_pipeline::components& daemon) {
    const settings::daemon_settings& settings = daemon.settings;
    admission::instance_tracker_settings tracker_settings;
    tracker_settings.service = settings.target.service.value_or("");
    tracker_settings.address = settings.target.address;
    tracker_settings.silence_timeout = silence_timeout_of(settings.timing);
    instance_sinks sinks;
    sinks.changed =
        when_components_ready(daemon, [&daemon](const std::optional<admission::current_instance>& instance) {
            std::optional<forwarding::target_instance> local;
            if (instance) {
                local = forwarding::target_instance{instance->id,    instance->address, instance->service,
                                                    instance->slots, instance->state,   instance->version};
            }
            daemon.forwarder->deliver(forwarding::local_instance_changed{std::move(local)});
            membership::target_announcement announced =
                announcement_of(instance, daemon.settings.rollout.enabled);
            if (daemon.leaving) {
                announced.state = membership::target_state::draining;
            }
            daemon.membership->ring().push_until(local_announcement_changed{std::move(announced)},
                                                 deadline_after(control_timeout));
        });
    sinks.save = when_components_ready(daemon, [&daemon](std::vector<admission::withdrawn_instance> withdrawn,
                                                         const common::save_progress& progress) {
        daemon.membership->ring().try_push(instances_withdrawn{withdrawn, progress.begin()});
        daemon.registry->ring().push_newest(save_withdrawn{std::move(withdrawn), progress.begin()});
    });
    daemon.instance = std::make_unique<instance_duty>(std::move(tracker_settings), std::move(sinks),
                                                      instance_ring_size, daemon.events);
}

/// Handles control requests of other daemons. Called on the forwarder's thread, so it must not block.
void handle_control_request(document_pipeline::components& daemon, const std::string& path,
                            const std::string& body,
                            std::function<void(std::optional<std::string>)> send_reply) {
    if (handle_rollout_request(daemon, path, body, send_reply)) {
        return;
    }
    if (path == document_path) {
        const auto document = daemon.state->document();
        send_reply(document ? std::optional(document->compressed) : std::nullopt);
        return;
    }
    peer::v1::SyncRequest message;
    const bool parsed = path == sync_path && message.ParseFromString(body);
    auto request = parsed ? codec::read_sync_request(message)
                          : tl::expected<membership::sync_request, codec::decode_error>();
    if (!parsed || !request) {
        daemon.events.emit(event_number::peer_message_invalid, {{"request", path}});
        send_reply(std::nullopt);
        return;
    }
    daemon.membership->ring().try_push(async_sync_requested{
        std::move(*request), [send_reply = std::move(send_reply)](const membership::sync_reply& reply) {
            peer::v1::SyncReply encoded;
            codec::write_sync_reply(reply, encoded);
            send_reply(encoded.SerializeAsString());
        }});
}

/// caller -> forwarder -> daemon of the target -> target
tl::expected<void, std::string> start_forwarder(document_pipeline::components& daemon) {
    const settings::daemon_settings& settings = daemon.settings;
    forwarding::forwarder_settings forwarding;
    forwarding.callers = settings.listeners.callers;
    forwarding.peers = settings.listeners.peer;
    forwarding.router.host = settings.identity.host;
    forwarding.router.service = settings.target.service.value_or("");
    forwarding.router.names = platform::platform_header_names();
    forwarding.router.balancing = {settings.identity.failure_domain, settings.calls.key_window};
    if (settings.rollout.enabled) {
        forwarding.router.balancing.version_hold = version_hold;
        forwarding.max_unconfirmed_plan = settings.rollout.rollback_time * 3 / 10;
    }
    forwarding.router.inner_calls_first = settings.calls.inner_calls_first;
    forwarding.admission = {settings.calls.longest_deadline, settings.calls.key_window};
    forwarding.admission.repeats = repeat_ratios;
    const bool by_load = settings.calls.balancing == settings::balancing_choice::load_aware;
    forwarding.router.stops_when_saturated = by_load;
    forwarding.admission.service_times_by_kind = by_load;
    forwarding.link_megabits = settings.limits.link_megabits;
    forwarding.ring_size = settings.rings.dispatch;
    forwarding.memory = memory_budget_of(settings.limits);
    forwarding.connections = connection_settings_of(settings.limits, process_descriptor_limit());
    forwarding::forwarder_sinks sinks;
    sinks.control_request =
        when_components_ready(daemon, [&daemon](const std::string& path, const std::string& body,
                                                std::function<void(std::optional<std::string>)> send_reply) {
            handle_control_request(daemon, path, body, std::move(send_reply));
        });
    sinks.newer_config =
        when_components_ready(daemon, [&daemon](const common::endpoint& peer, common::revision version) {
            daemon.state->ring().try_push(newer_version_observed{peer, version});
        });
    sinks.newer_plan = when_components_ready(daemon, [&daemon](const common::endpoint& peer) {
        if (daemon.rollout) {
            daemon.rollout->ring().try_push(newer_plan_suspected{peer});
        }
    });
    sinks.target_unreachable = when_components_ready(
        daemon, [&daemon] { daemon.instance->ring().try_push(instance_unreachable{}); });
    auto started = forwarding::forwarder::start(forwarding, std::move(sinks), daemon.events, daemon.metrics);
    if (!started) {
        return tl::unexpected(started.error());
    }
    daemon.forwarder = std::move(*started);
    return {};
}

} // namespace

document_pipeline::components::components(settings::daemon_settings initial_settings)
    : settings(std::move(initial_settings)),
      timeline(settings.rings.timeline, settings.limits.timeline_events, settings.limits.timeline_bytes),
      events(settings.identity.host, clock,
             [this](telemetry::timeline_event event) { timeline.record(std::move(event)); }) {}

document_pipeline::document_pipeline(std::unique_ptr<components> started)
    : m_components(std::move(started)) {}

document_pipeline::~document_pipeline() = default;

tl::expected<std::unique_ptr<document_pipeline>, std::string>
document_pipeline::start(const settings::daemon_settings& settings) {
    if (!settings.platform.log) {
        return tl::unexpected<std::string>(
            "platform.log is required where the configuration comes as documents");
    }
    const settings_with_terms applied = apply_platform_terms(settings);
    auto daemon = std::make_unique<components>(applied.settings);
    daemon->events.emit(event_number::daemon_starting,
                        {{"failure_domain", settings.identity.failure_domain}});
    report_terms(applied, daemon->events);
    auto socket = transport::udp_socket::bind(settings.listeners.gossip);
    if (!socket) {
        return tl::unexpected("gossip listener: " + transport::to_string(socket.error()));
    }
    daemon->watch = std::make_unique<watch_duty>(watch_ring_size);
    const auto forwarder_started = start_forwarder(*daemon);
    if (!forwarder_started) {
        return tl::unexpected(forwarder_started.error());
    }
    start_configuration_duties(*daemon);
    start_instance_duty(*daemon);
    start_rollout_duties(*daemon);
    start_membership_duties(*daemon, std::move(*socket));
    daemon->components_ready.count_down();
    const auto opened = open_http_listeners(*daemon);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    daemon->events.emit(event_number::listener_opened,
                        {{"callers", common::to_string(daemon->forwarder->caller_endpoint())},
                         {"peer", common::to_string(daemon->forwarder->peer_endpoint())},
                         {"operators", common::to_string(daemon->operator_server->local_endpoint())}});
    return std::unique_ptr<document_pipeline>(new document_pipeline(std::move(daemon)));
}

settings::listener_settings document_pipeline::listeners() const {
    settings::listener_settings bound = m_components->settings.listeners;
    bound.callers = m_components->forwarder->caller_endpoint();
    bound.peer = m_components->forwarder->peer_endpoint();
    bound.gossip = m_components->gossip;
    bound.operators = m_components->operator_server->local_endpoint();
    bound.target = m_components->target_server->local_endpoint();
    if (m_components->readiness_server) {
        bound.readiness = m_components->readiness_server->local_endpoint();
    }
    return bound;
}

} // namespace boragehollow::daemon
