#include "conversions.hpp"

#include <cmath>
#include <utility>

namespace boragehollow::daemon {

streams::log_client make_log_client(const pipeline::components& daemon) {
    const settings::daemon_settings& settings = daemon.settings;
    if (!settings.platform.log) {
        return streams::memory_log_client{std::make_shared<streams::memory_log>(), settings.identity.host};
    }
    return streams::http_log_client(
        *settings.platform.log, settings.identity.host,
        [links = daemon.links](const common::endpoint& to) { return links->blocked(to); });
}

spreading::peer_view peer_view_of(const mesh_view& mesh, const settings::baseline_settings& baseline) {
    spreading::peer_view view;
    for (const std::string& domain : mesh.failure_domains()) {
        const bool own = domain == mesh.own_domain;
        for (std::string& host : mesh.live_hosts(domain)) {
            if (host == mesh.own_host) {
                continue;
            }
            (own ? view.own_domain : view.other_domains).push_back(std::move(host));
        }
    }
    for (std::string& reader : mesh.readers(mesh.own_domain)) {
        if (reader == mesh.own_host) {
            view.log_reader = true;
            continue;
        }
        view.readers.push_back(std::move(reader));
    }
    view.log_reader = view.log_reader || baseline.log_reading == settings::log_reading_mode::every_daemon;
    view.compactor = mesh.compactor() == mesh.own_host;
    return view;
}

spreading::spreading_settings spreading_settings_of(const settings::daemon_settings& settings) {
    spreading::spreading_settings result;
    result.host = settings.identity.host;
    result.pull_interval = settings.timing.pull_interval;
    result.first_pull_jitter = settings.timing.first_pull_jitter;
    result.max_retained_records = settings.limits.recent_records;
    result.max_retained_bytes = settings.limits.recent_record_bytes;
    result.max_snapshot_transfers = settings.limits.concurrent_snapshot_pulls;
    result.compaction_records = settings.limits.snapshot_records;
    return result;
}

membership::membership_settings membership_settings_of(const settings::daemon_settings& settings) {
    membership::membership_settings result;
    result.period = settings.timing.swim_period;
    result.ack_timeout = settings.timing.swim_ack_timeout;
    result.suspicion = settings.timing.suspicion;
    result.sync_interval = settings.timing.table_sync;
    result.progress_interval = settings.timing.progress_interval;
    result.lost_target_retention = settings.calls.key_window;
    return result;
}

admission::target_state admission_state(membership::target_state state) {
    switch (state) {
    case membership::target_state::ready:
        return admission::target_state::ready;
    case membership::target_state::starting:
        return admission::target_state::starting;
    case membership::target_state::none:
    case membership::target_state::draining:
    case membership::target_state::gone:
        break;
    }
    return admission::target_state::draining;
}

membership::member local_member(const settings::daemon_settings& settings, common::endpoint gossip,
                                common::endpoint peer) {
    membership::member self;
    self.host = settings.identity.host;
    self.failure_domain = settings.identity.failure_domain;
    self.gossip = std::move(gossip);
    self.peer = std::move(peer);
    self.incarnation = membership::first_incarnation(common::wall_now());
    self.link_megabits = static_cast<std::uint32_t>(std::ceil(settings.limits.link_megabits));
    return self;
}

} // namespace boragehollow::daemon
