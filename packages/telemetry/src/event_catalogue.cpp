#include "boragehollow/telemetry/event_catalogue.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace boragehollow::telemetry {

namespace {

using enum event_level;
using channel = event_channel;
using event = event_number;

constexpr auto catalogue = std::to_array<event_description>({
    {event::daemon_starting, info, channel::daemon, "daemon_starting", "The daemon is starting."},
    {event::daemon_ready, info, channel::daemon, "daemon_ready",
     "The daemon serves calls: its configuration has reached its version floor and the versions of its "
     "peers."},
    {event::daemon_not_ready, warning, channel::daemon, "daemon_not_ready",
     "The daemon does not serve calls yet, or no longer; the field `reason` says what it waits for."},
    {event::daemon_stop_requested, info, channel::daemon, "daemon_stop_requested",
     "A planned stop was requested (SIGTERM); new calls are refused as not run."},
    {event::daemon_drained, info, channel::daemon, "daemon_drained",
     "The last call in flight has ended during a planned stop."},
    {event::daemon_drain_limit_reached, warning, channel::daemon, "daemon_drain_limit_reached",
     "A planned stop reached its drain limit while calls were still in flight."},
    {event::daemon_stopped, info, channel::daemon, "daemon_stopped", "The daemon has stopped."},
    {event::daemon_failed, error, channel::daemon, "daemon_failed",
     "The daemon cannot continue; the field `reason` gives the cause."},
    {event::listener_opened, info, channel::daemon, "listener_opened",
     "A listener accepts connections; the field `address` gives the port that was chosen."},
    {event::listener_failed, error, channel::daemon, "listener_failed", "A listener could not be opened."},
    {event::ring_overflow, warning, channel::daemon, "ring_overflow",
     "A ring between duties was full; messages were refused or evicted."},
    {event::memory_pressure, warning, channel::daemon, "memory_pressure",
     "The memory for messages is taken; stalled, slow or waiting messages were ended."},
    {event::connection_limit_reached, warning, channel::daemon, "connection_limit_reached",
     "A listener has as many connections as it may, in total or from one address."},
    {event::settings_loaded, info, channel::settings, "settings_loaded", "The settings were read."},
    {event::settings_rejected, error, channel::settings, "settings_rejected",
     "The settings file has errors; each is listed with its key and line."},
    {event::settings_baseline_active, warning, channel::settings, "settings_baseline_active",
     "A baseline setting is active; it selects a mode that is meant for measurements only."},
    {event::settings_reloaded, info, channel::settings, "settings_reloaded",
     "The settings file was read again; the field `changed` names the entries that took effect."},
    {event::settings_terms_unreadable, warning, channel::settings, "settings_terms_unreadable",
     "The platform's terms in the settings cannot be read; no feature is enabled by its contracts."},
    {event::settings_term_replaced, warning, channel::settings, "settings_term_replaced",
     "A value of the platform's terms cannot be used as stated; the field `used` gives its replacement."},
    {event::log_reader_started, info, channel::platform, "log_reader_started",
     "This daemon reads the platform log for its failure domain."},
    {event::log_reader_stopped, info, channel::platform, "log_reader_stopped",
     "This daemon no longer reads the platform log."},
    {event::log_unreachable, warning, channel::platform, "log_unreachable",
     "The platform log cannot be reached."},
    {event::log_reachable_again, info, channel::platform, "log_reachable_again",
     "The platform log can be reached again."},
    {event::log_gap, warning, channel::platform, "log_gap",
     "Records expired before this daemon had read them."},
    {event::log_slow, warning, channel::platform, "log_slow", "The platform log responds slowly."},
    {event::append_accepted, info, channel::platform, "append_accepted",
     "A record was appended to the platform log."},
    {event::append_answer_lost, warning, channel::platform, "append_answer_lost",
     "The response to an append was lost; whether the record was appended is not known yet."},
    {event::append_found_again, info, channel::platform, "append_found_again",
     "A record was found in the stream after the response to its append had been lost."},
    {event::append_refused, warning, channel::platform, "append_refused",
     "The platform log refused an append."},
    {event::snapshot_appended, info, channel::platform, "snapshot_appended",
     "A snapshot of the configuration was appended."},
    {event::snapshot_append_failed, warning, channel::platform, "snapshot_append_failed",
     "A snapshot could not be appended."},
    {event::log_reply_invalid, warning, channel::platform, "log_reply_invalid",
     "The platform log sent a reply that cannot be decoded."},
    {event::log_restored, warning, channel::platform, "log_restored",
     "The platform log was restored from an earlier copy and may have lost what this daemon wrote."},
    {event::log_reader_substituted, warning, channel::platform, "log_reader_substituted",
     "The log readers of this failure domain have not confirmed the configuration for too long; this daemon "
     "reads the platform log in their place."},
    {event::config_applied, info, channel::config, "config_applied",
     "A configuration record was accepted and is active on this daemon."},
    {event::config_rejected, info, channel::config, "config_rejected",
     "A configuration record was rejected as invalid; no part of it took effect."},
    {event::config_undecodable, warning, channel::config, "config_undecodable",
     "A configuration record could not be decoded; every daemon rejects it."},
    {event::config_schema_unknown, error, channel::config, "config_schema_unknown",
     "A record needs a schema that this daemon does not know; it keeps its version and applies nothing "
     "further."},
    {event::config_digest_differs, error, channel::config, "config_digest_differs",
     "This daemon's configuration differs from a peer's at the same version."},
    {event::config_snapshot_loaded, info, channel::config, "config_snapshot_loaded",
     "The configuration was loaded from a snapshot."},
    {event::config_snapshot_refused, warning, channel::config, "config_snapshot_refused",
     "A snapshot was refused because it is damaged or incomplete."},
    {event::config_older_version_refused, warning, channel::config, "config_older_version_refused",
     "A source offered a configuration older than the active one; it was refused."},
    {event::config_schema_activated, info, channel::config, "config_schema_activated",
     "A newer schema of configuration records is active."},
    {event::config_fetched_from_peer, info, channel::config, "config_fetched_from_peer",
     "A newer configuration was fetched from another daemon."},
    {event::spread_records_received, debug, channel::spreading, "spread_records_received",
     "Configuration records arrived from a peer."},
    {event::spread_pull_answered, debug, channel::spreading, "spread_pull_answered",
     "A reply to a peer's pull request was sent."},
    {event::spread_pull_failed, warning, channel::spreading, "spread_pull_failed",
     "A pull request to a peer failed."},
    {event::spread_snapshot_served, info, channel::spreading, "spread_snapshot_served",
     "A snapshot was sent to a peer."},
    {event::spread_snapshot_deferred, info, channel::spreading, "spread_snapshot_deferred",
     "A peer's pull request was deferred because the limit of concurrent snapshot transfers was reached."},
    {event::spread_gap_waiting, info, channel::spreading, "spread_gap_waiting",
     "Records after a gap are held until the missing ones arrive."},
    {event::spread_floor_learned, info, channel::spreading, "spread_floor_learned",
     "A peer reported the lowest version that this daemon may serve."},
    {event::spread_floor_reached, info, channel::spreading, "spread_floor_reached",
     "The configuration has reached the lowest version that this daemon may serve."},
    {event::spread_compactor_elected, info, channel::spreading, "spread_compactor_elected",
     "This daemon appends the snapshots of the mesh."},
    {event::member_joined, info, channel::membership, "member_joined", "A daemon joined its failure domain."},
    {event::member_suspected, warning, channel::membership, "member_suspected",
     "A daemon does not respond to probes and is suspected."},
    {event::member_dead, warning, channel::membership, "member_dead", "A daemon is considered dead."},
    {event::member_left, info, channel::membership, "member_left", "A daemon left in a planned stop."},
    {event::member_refuted_suspicion, info, channel::membership, "member_refuted_suspicion",
     "A suspected daemon refuted the suspicion."},
    {event::member_replaced, info, channel::membership, "member_replaced",
     "A daemon was replaced by one of the same host name with another address or a later start time."},
    {event::member_table_synced, debug, channel::membership, "member_table_synced",
     "The member table was reconciled with a peer."},
    {event::member_role_gained, info, channel::membership, "member_role_gained",
     "This daemon has gained a role in its failure domain."},
    {event::member_role_lost, info, channel::membership, "member_role_lost",
     "This daemon has lost a role in its failure domain."},
    {event::domain_unreachable, warning, channel::membership, "domain_unreachable",
     "No daemon of another failure domain can be reached."},
    {event::datagram_invalid, warning, channel::membership, "datagram_invalid",
     "A datagram was discarded because it cannot be decoded or belongs to another mesh."},
    {event::member_registered, info, channel::membership, "member_registered",
     "This daemon wrote its gossip address to the platform, where other daemons find it."},
    {event::member_registration_failed, warning, channel::membership, "member_registration_failed",
     "The platform did not accept this daemon's gossip address; the registration is retried."},
    {event::member_seeds_found, info, channel::membership, "member_seeds_found",
     "Gossip addresses of other daemons were read from the platform."},
    {event::member_entries_skipped, warning, channel::membership, "member_entries_skipped",
     "Entries among the gossip addresses on the platform could not be decoded and were skipped."},
    {event::dispatch_no_target, warning, channel::dispatch, "dispatch_no_target",
     "No target of a service can accept a call."},
    {event::dispatch_target_ejected, warning, channel::dispatch, "dispatch_target_ejected",
     "A target was ejected because of failures or high latency."},
    {event::dispatch_target_returned, info, channel::dispatch, "dispatch_target_returned",
     "An ejected target receives calls again."},
    {event::dispatch_panic_entered, warning, channel::dispatch, "dispatch_panic_entered",
     "So few targets of a service are healthy that all of them are used."},
    {event::dispatch_panic_left, info, channel::dispatch, "dispatch_panic_left",
     "Enough targets of a service are healthy again."},
    {event::dispatch_retry_budget_spent, warning, channel::dispatch, "dispatch_retry_budget_spent",
     "The retry budget of a service is exhausted; failed calls are not retried."},
    {event::dispatch_call_unknown, info, channel::dispatch, "dispatch_call_unknown",
     "A call was reported to its caller with an unknown outcome."},
    {event::dispatch_call_not_run, debug, channel::dispatch, "dispatch_call_not_run",
     "A call was reported to its caller as not run."},
    {event::call_ended, info, channel::dispatch, "call_ended",
     "A call of a caller on this host ended; the fields give its attempts and the reason for the result of "
     "each."},
    {event::call_without_route, info, channel::dispatch, "call_without_route",
     "A caller requested a host and path that no route matches."},
    {event::call_lines_suppressed, info, channel::dispatch, "call_lines_suppressed",
     "Log lines about calls were suppressed to limit the log rate; the field `lines` counts them."},
    {event::call_unauthorized, info, channel::dispatch, "call_unauthorized",
     "A call was refused with status 401: its route needs the key of a client account."},
    {event::call_over_limit, info, channel::dispatch, "call_over_limit",
     "A call was refused because its account has no token of its limit."},
    {event::quota_owner_changed, debug, channel::dispatch, "quota_owner_changed",
     "This daemon asks another owner for the limits of a group of accounts."},
    {event::admission_queue_full, warning, channel::admission, "admission_queue_full",
     "The queue in front of the local target is full; calls are refused as not run."},
    {event::admission_refused_deadline, info, channel::admission, "admission_refused_deadline",
     "A call was refused because it could not have started before its deadline."},
    {event::admission_limit_lowered, info, channel::admission, "admission_limit_lowered",
     "The limit of concurrent calls to the local target was lowered."},
    {event::admission_limit_raised, info, channel::admission, "admission_limit_raised",
     "The limit of concurrent calls to the local target was raised."},
    {event::admission_duplicate_id, warning, channel::admission, "admission_duplicate_id",
     "A call was refused because a call with the same id had already started."},
    {event::admission_duplicate_key, info, channel::admission, "admission_duplicate_key",
     "A call was refused because a call with the same idempotency key had already started."},
    {event::admission_queue_returned, info, channel::admission, "admission_queue_returned",
     "Queued calls were returned as not run because the target is departing."},
    {event::admission_long_reclassified, info, channel::admission, "admission_long_reclassified",
     "A call classified as short work has run so long that it now counts as long work."},
    {event::call_ran, info, channel::admission, "call_ran",
     "A call was sent to the target on this host; the fields give the waiting time, the service time and the "
     "response."},
    {event::call_not_admitted, info, channel::admission, "call_not_admitted",
     "A call was not admitted to the target on this host; it has not run."},
    {event::target_announced, info, channel::target, "target_announced",
     "The target on this host announced itself."},
    {event::target_draining, info, channel::target, "target_draining",
     "The target on this host is draining; it receives no new work."},
    {event::target_silent, warning, channel::target, "target_silent",
     "The target on this host has missed its heartbeats; it receives no new work."},
    {event::target_returned, info, channel::target, "target_returned",
     "The target on this host is ready again."},
    {event::target_announcement_invalid, warning, channel::target, "target_announcement_invalid",
     "An announcement of the target on this host is invalid."},
    {event::target_connect_failed, warning, channel::target, "target_connect_failed",
     "The target on this host refused a connection."},
    {event::target_transfer_broken, warning, channel::target, "target_transfer_broken",
     "A transfer with the target on this host was interrupted."},
    {event::target_announcement_outdated, info, channel::target, "target_announcement_outdated",
     "An announcement of an earlier incarnation, or one that arrived out of order, was ignored."},
    {event::target_left, info, channel::target, "target_left",
     "The target on this host departed, missed its heartbeats or refused a connection."},
    {event::target_history_restored, info, channel::target, "target_history_restored",
     "The drains and departures of targets on this host that an earlier process acknowledged were read from "
     "the platform, or were told by another daemon (field `source`)."},
    {event::target_history_unsaved, warning, channel::target, "target_history_unsaved",
     "The platform did not save a drain or departure; the save is retried."},
    {event::target_withdrawal_unconfirmed, warning, channel::target, "target_withdrawal_unconfirmed",
     "A drain or departure was not acknowledged, since neither the platform nor another daemon has saved "
     "it."},
    {event::operator_change_accepted, info, channel::operators, "operator_change_accepted",
     "An operator's change was accepted and appended."},
    {event::operator_change_rejected, info, channel::operators, "operator_change_rejected",
     "An operator's change was rejected."},
    {event::operator_change_unknown, warning, channel::operators, "operator_change_unknown",
     "The outcome of an operator's change is unknown."},
    {event::operator_request_invalid, info, channel::operators, "operator_request_invalid",
     "An operator's request is malformed."},
    {event::operator_watch_opened, info, channel::operators, "operator_watch_opened",
     "An operator watches changes."},
    {event::operator_watch_closed, info, channel::operators, "operator_watch_closed",
     "An operator's watch has ended."},
    {event::peer_connected, debug, channel::peer, "peer_connected", "A connection to a peer is open."},
    {event::peer_unreachable, warning, channel::peer, "peer_unreachable", "A peer cannot be reached."},
    {event::peer_wrong_mesh, warning, channel::peer, "peer_wrong_mesh",
     "A request from another mesh was refused."},
    {event::peer_wrong_protocol, warning, channel::peer, "peer_wrong_protocol",
     "A request with an unknown protocol number was refused."},
    {event::peer_request_failed, info, channel::peer, "peer_request_failed", "A request to a peer failed."},
    {event::peer_message_invalid, warning, channel::peer, "peer_message_invalid",
     "A peer sent an invalid message."},
    {event::testing_links_blocked, warning, channel::testing, "testing_links_blocked",
     "Links were blocked by fault injection."},
    {event::testing_links_restored, info, channel::testing, "testing_links_restored",
     "All links that were blocked by fault injection are open again."},
    {event::testing_refused, warning, channel::testing, "testing_refused",
     "A request to inject a fault was refused because the settings do not allow it."},
    {event::rollout_ordered, info, channel::rollout, "rollout_ordered", "An operator ordered a roll-out."},
    {event::rollout_coordinating, info, channel::rollout, "rollout_coordinating",
     "This daemon coordinates a roll-out."},
    {event::rollout_stage_entered, info, channel::rollout, "rollout_stage_entered",
     "A roll-out entered a stage."},
    {event::rollout_decided, warning, channel::rollout, "rollout_decided", "A version was rolled back."},
    {event::rollout_recorded, info, channel::rollout, "rollout_recorded",
     "The status of a roll-out was recorded in the store."},
    {event::rollout_record_failed, warning, channel::rollout, "rollout_record_failed",
     "The status or the stage of a roll-out could not be recorded; the daemon tries again."},
    {event::rollout_coordinator_replaced, warning, channel::rollout, "rollout_coordinator_replaced",
     "This daemon continues a roll-out whose coordinator does not reply."},
    {event::rollout_message_invalid, warning, channel::rollout, "rollout_message_invalid",
     "Another daemon sent an invalid plan or report of a roll-out."},
    {event::rollout_order_invalid, warning, channel::rollout, "rollout_order_invalid",
     "An order of a roll-out in the store is invalid; it was skipped."},
    {event::rollout_order_superseded, info, channel::rollout, "rollout_order_superseded",
     "A waiting order of a roll-out was replaced by a newer one."},
});

constexpr std::array<std::pair<event_channel, std::string_view>, 13> channels{{
    {channel::daemon, "daemon"},
    {channel::settings, "settings"},
    {channel::platform, "platform"},
    {channel::config, "config"},
    {channel::spreading, "spreading"},
    {channel::membership, "membership"},
    {channel::dispatch, "dispatch"},
    {channel::admission, "admission"},
    {channel::target, "target"},
    {channel::operators, "operators"},
    {channel::peer, "peer"},
    {channel::testing, "testing"},
    {channel::rollout, "rollout"},
}};

/// Event numbers of the first channel divided by 100; the other channels follow in the order of
/// `event_channel`.
constexpr std::uint16_t first_channel_prefix = 10;

} // namespace

std::span<const event_description> event_catalogue() {
    return catalogue;
}

const event_description* find_event(std::uint16_t number) {
    const auto found = std::lower_bound(catalogue.begin(), catalogue.end(), number,
                                        [](const event_description& description, std::uint16_t wanted) {
                                            return static_cast<std::uint16_t>(description.number) < wanted;
                                        });
    if (found == catalogue.end() || static_cast<std::uint16_t>(found->number) != number) {
        return nullptr;
    }
    return &*found;
}

std::string event_code(std::uint16_t number) {
    std::string digits = std::to_string(number);
    if (digits.size() < 4) {
        digits.insert(0, 4 - digits.size(), '0');
    }
    return "BH" + digits;
}

std::string_view to_string(event_level level) {
    switch (level) {
    case debug:
        return "debug";
    case info:
        return "info";
    case warning:
        return "warning";
    case error:
        return "error";
    }
    return "unknown";
}

std::string_view to_string(event_channel value) {
    const auto found = std::find_if(channels.begin(), channels.end(),
                                    [&](const auto& candidate) { return candidate.first == value; });
    return found == channels.end() ? "unknown" : found->second;
}

bool belongs_to_channel(std::uint16_t number, event_channel value) {
    return number / 100 == first_channel_prefix + static_cast<std::uint16_t>(value);
}

} // namespace boragehollow::telemetry
