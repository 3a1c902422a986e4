#include "document_registry.hpp"

#include "boragehollow/platform/host_registry.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

bool follows_platform(const mesh_view& mesh) {
    const std::vector<std::string> readers = mesh.readers(mesh.own_domain);
    return std::find(readers.begin(), readers.end(), mesh.own_host) != readers.end();
}

mesh_observation observe_mesh(const mesh_view* mesh) {
    const bool isolated = mesh == nullptr || mesh->count(membership::member_state::alive) <= 1;
    // A daemon that knows no other one would take every role of its failure domain.
    return {isolated, !isolated && follows_platform(*mesh)};
}

} // namespace

void restore_history(document_pipeline::components& daemon, history_source source,
                     std::vector<admission::withdrawn_instance> withdrawn) {
    daemon.instance->ring().push_until(history_restored{source, std::move(withdrawn)},
                                       deadline_after(control_timeout));
}

bool record_log_epoch(document_pipeline::components& daemon, std::uint64_t epoch) {
    std::uint64_t known = daemon.log_epoch.load();
    while (epoch > known && !daemon.log_epoch.compare_exchange_weak(known, epoch)) {
    }
    if (epoch > known && known != 0) {
        daemon.events.emit(event_number::log_restored, {{"epoch", epoch}});
    }
    return epoch > known;
}

platform::store_client make_store_client(document_pipeline::components& daemon) {
    return platform::store_client(
        *daemon.settings.platform.log, when_components_ready(daemon, [&daemon](std::uint64_t epoch) {
            if (record_log_epoch(daemon, epoch)) {
                daemon.membership->ring().push_until(log_epoch_read{epoch}, deadline_after(control_timeout));
            }
        }));
}

void start_registry_duty(document_pipeline::components& daemon) {
    const settings::daemon_settings& settings = daemon.settings;
    const platform::host_registry registry{make_store_client(daemon)};
    daemon.registry = std::make_unique<registry_duty>(
        registry_access{
            [registry, host = settings.identity.host, gossip = daemon.gossip](const std::stop_token& stop) {
                return registry.register_host(host, gossip, stop);
            },
            [registry, host = settings.identity.host, &events = daemon.events](const std::stop_token& stop) {
                return registry.list(host, stop).map([&events](platform::host_listing listing) {
                    if (listing.skipped > 0) {
                        events.emit(event_number::member_entries_skipped, {{"count", listing.skipped}});
                    }
                    return registry_listing{std::move(listing.endpoints), std::move(listing.withdrawn)};
                });
            },
            [registry, host = settings.identity.host](
                const std::vector<admission::withdrawn_instance>& withdrawn, const std::stop_token& stop) {
                return registry.save_withdrawn(host, withdrawn, stop);
            },
            [&daemon] { return observe_mesh(daemon.mesh.load().get()); },
            [&daemon] { return daemon.log_epoch.load(); }},
        registry_sinks{
            when_components_ready(daemon,
                                  [&daemon](std::vector<common::endpoint> seeds) {
                                      daemon.registered_daemons = seeds.size();
                                      if (std::ranges::all_of(seeds, [&daemon](const common::endpoint& seed) {
                                              return seed == daemon.gossip;
                                          })) {
                                          // No other daemon can know of a withdrawal.
                                          restore_history(daemon, history_source::mesh, {});
                                      }
                                      daemon.membership->ring().push_until(seeds_found{std::move(seeds)},
                                                                           deadline_after(control_timeout));
                                  }),
            when_components_ready(daemon,
                                  [&daemon](std::vector<admission::withdrawn_instance> withdrawn) {
                                      restore_history(daemon, history_source::log, std::move(withdrawn));
                                  })},
        common::random_source::from_system(), daemon.events);
}

} // namespace boragehollow::daemon
