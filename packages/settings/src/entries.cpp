#include "entries.hpp"

namespace boragehollow::settings {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::size_t max_ring_capacity = 1'048'576;

using root = daemon_settings;

/// Accessor of one field of a section.
template <auto Section, auto Member>
auto& field(daemon_settings& settings) {
    return settings.*Section.*Member;
}

entry ring(std::string_view key, field_accessor<std::size_t> field, std::size_t default_value,
           std::string_view description) {
    return {key, size_entry{field, default_value, 1, max_ring_capacity, "messages"}, description};
}

entry size(std::string_view key, field_accessor<std::size_t> field, std::size_t default_value,
           std::size_t min, std::size_t max, std::string_view unit, std::string_view description) {
    return {key, size_entry{field, default_value, min, max, unit}, description};
}

entry duration(std::string_view key, field_accessor<milliseconds> field, milliseconds default_value,
               milliseconds min, milliseconds max, std::string_view description) {
    return {key, duration_entry{field, default_value, min, max}, description};
}

std::vector<entry> make_entries() {
    return {
        {"identity.mesh", name_entry{field<&root::identity, &identity_settings::mesh>},
         "Name of the mesh. Daemons of another mesh are refused."},
        {"identity.host", platform_name_entry{field<&root::identity, &identity_settings::host>},
         "Name of this host, unique in the mesh."},
        {"identity.failure_domain",
         platform_name_entry{field<&root::identity, &identity_settings::failure_domain>},
         "Failure domain of this host."},
        {"identity.region", platform_name_entry{field<&root::identity, &identity_settings::region>},
         "Region of this host."},

        {"listeners.callers",
         endpoint_entry{field<&root::listeners, &listener_settings::callers>, "0.0.0.0:7080"},
         "Calls (HTTP)."},
        {"listeners.operators",
         endpoint_entry{field<&root::listeners, &listener_settings::operators>, "127.0.0.1:7081"},
         "Operators, metrics and health (HTTP)."},
        {"listeners.peer", endpoint_entry{field<&root::listeners, &listener_settings::peer>, ""},
         "Other daemons (gRPC). Other hosts connect to this address, so it cannot be a wildcard."},
        {"listeners.gossip", endpoint_entry{field<&root::listeners, &listener_settings::gossip>, ""},
         "Failure detector (UDP). Other hosts send to this address, so it cannot be a wildcard."},
        {"listeners.target",
         endpoint_entry{field<&root::listeners, &listener_settings::target>, "127.0.0.1:7084"},
         "Announcements of the target on this host (HTTP)."},
        {"listeners.readiness",
         optional_endpoint_entry{field<&root::listeners, &listener_settings::readiness>},
         "Readiness for the platform (HTTP). Used when the configuration comes as documents."},

        {"target.service", optional_name_entry{field<&root::target, &target_settings::service>},
         "Service of the target on this host. Announcements of another one are refused."},
        {"target.address", optional_endpoint_entry{field<&root::target, &target_settings::address>},
         "Address of the target on this host. Announcements of another one are refused."},

        {"gossip.seeds", endpoint_list_entry{field<&root::gossip, &gossip_settings::seeds>},
         "Gossip endpoints of other daemons that a starting daemon contacts first. Empty on the first daemon "
         "of a mesh."},

        {"platform.configuration",
         choice_entry{
             [](daemon_settings& s, std::size_t i) {
                 s.platform.configuration = static_cast<configuration_source>(i);
             },
             [](const daemon_settings& s) { return static_cast<std::size_t>(s.platform.configuration); },
             {"changes", "documents"},
             0},
         "Where the configuration comes from: changes that operators append through this product, or "
         "complete versioned documents that the platform's operators write."},
        {"platform.log", optional_endpoint_entry{field<&root::platform, &platform_settings::log>},
         "Endpoint of the platform log. Without it the daemon depends on its peers and accepts no changes."},
        {"platform.terms", text_entry{field<&root::platform, &platform_settings::terms>},
         "The platform's description of this host and of its contracts (JSON). The contracts enable the "
         "features that serve them, in addition to those that the settings enable. Used when the "
         "configuration comes as documents."},
        duration("platform.request_timeout", field<&root::platform, &platform_settings::request_timeout>, 5s,
                 100ms, 2min, "Timeout of a request to the platform log, in addition to the long poll."),
        duration("platform.long_poll", field<&root::platform, &platform_settings::long_poll>, 10s, 100ms,
                 1min, "Time for which a read at the end of the stream waits for a record."),
        duration("platform.min_backoff", field<&root::platform, &platform_settings::min_backoff>, 100ms, 10ms,
                 1min, "First delay after a failed request; it doubles with each further failure."),
        duration("platform.max_backoff", field<&root::platform, &platform_settings::max_backoff>, 2s, 10ms,
                 10min, "Maximum delay between failed requests."),

        ring("rings.log_reader", field<&root::rings, &ring_settings::log_reader>, 16,
             "Wake-ups of the log reader."),
        ring("rings.spreading", field<&root::rings, &ring_settings::spreading>, 4096,
             "Messages to the spreading duty."),
        ring("rings.apply", field<&root::rings, &ring_settings::apply>, 4096, "Records to the apply duty."),
        ring("rings.publisher", field<&root::rings, &ring_settings::publisher>, 256,
             "Changes to the publisher."),
        ring("rings.membership", field<&root::rings, &ring_settings::membership>, 4096,
             "Messages to the membership duty."),
        ring("rings.dispatch", field<&root::rings, &ring_settings::dispatch>, 4096,
             "Calls to the dispatch duty."),
        ring("rings.admission", field<&root::rings, &ring_settings::admission>, 4096,
             "Calls to the admission duty."),
        ring("rings.target_front", field<&root::rings, &ring_settings::target_front>, 256,
             "Announcements of the local target."),
        ring("rings.timeline", field<&root::rings, &ring_settings::timeline>, 8192,
             "Events to the timeline duty."),
        ring("rings.peer_sender", field<&root::rings, &ring_settings::peer_sender>, 1024,
             "Control requests to peers."),

        {"limits.link_megabits",
         real_entry{field<&root::limits, &limit_settings::link_megabits>, 1'000, min_link_megabits,
                    max_link_megabits, "Mbit/s"},
         "Rate of this host's link. Other daemons send large bodies at a fraction of it. Where the "
         "configuration "
         "comes as documents, the platform's terms replace it."},
        size("limits.memory_mb", field<&root::limits, &limit_settings::memory_mb>, 0, 0, 1'048'576, "MB",
             "Memory of this host that the daemon may use. 0: unlimited."),
        size("limits.memory_base_mb", field<&root::limits, &limit_settings::memory_base_mb>, 36, 1, 1'048'576,
             "MB", "Part of the memory for the process itself; the rest is for messages."),
        size("limits.small_body_reserve_mb", field<&root::limits, &limit_settings::small_body_reserve_mb>, 8,
             0, 1'048'576, "MB", "Part of the memory that only messages of up to 64 KB may use."),
        size(
            "limits.min_transfer_bytes_per_s",
            field<&root::limits, &limit_settings::min_transfer_bytes_per_s>, 16 * kib, 0, 1024 * mib,
            "bytes/s",
            "A client that sends or reads more slowly than this for 2 s is disconnected when others wait for "
            "memory."),
        size("limits.caller_connections", field<&root::limits, &limit_settings::caller_connections>, 2048, 1,
             1'048'576, "connections",
             "Concurrent connections of callers. Fewer if the process may not open so many descriptors."),
        size("limits.connections_per_address", field<&root::limits, &limit_settings::connections_per_address>,
             1024, 1, 1'048'576, "connections", "Concurrent connections of callers from one address."),
        size("limits.max_descriptors", field<&root::limits, &limit_settings::max_descriptors>, 0, 0,
             1'048'576, "descriptors",
             "Descriptors that the daemon may open. 0: as many as the operating system allows the process."),
        size(
            "limits.reserved_descriptors", field<&root::limits, &limit_settings::reserved_descriptors>, 600,
            1, 1'048'576, "descriptors",
            "Descriptors that are not used for connections of callers and other daemons, but at most half of "
            "those that the process may open."),
        size("limits.operator_body_bytes", field<&root::limits, &limit_settings::operator_body_bytes>, mib,
             kib, 64 * mib, "bytes", "Maximum size of an operator's request body."),
        size("limits.header_bytes", field<&root::limits, &limit_settings::header_bytes>, 16 * kib, kib, mib,
             "bytes", "Maximum total size of the header lines of a request."),
        size("limits.caller_threads", field<&root::limits, &limit_settings::caller_threads>, 160, 1, 4096,
             "threads", "Concurrent calls that this daemon accepts; each occupies one thread until it ends."),
        size("limits.operator_threads", field<&root::limits, &limit_settings::operator_threads>, 8, 2, 256,
             "threads", "Concurrent requests of operators. A watch occupies one thread."),
        size("limits.target_threads", field<&root::limits, &limit_settings::target_threads>, 2, 1, 64,
             "threads", "Concurrent announcements of the local target."),
        size("limits.target_connections", field<&root::limits, &limit_settings::target_connections>, 130, 1,
             4096, "connections", "Concurrent connections to the local target."),
        size("limits.recent_records", field<&root::limits, &limit_settings::recent_records>, 1024, 16, 65'536,
             "records", "Configuration records that the daemon keeps for its peers."),
        size("limits.recent_record_bytes", field<&root::limits, &limit_settings::recent_record_bytes>,
             4 * mib, 64 * kib, 64 * mib, "bytes",
             "Total size of the records that the daemon keeps for its peers."),
        size("limits.snapshot_chunk_bytes", field<&root::limits, &limit_settings::snapshot_chunk_bytes>,
             256 * kib, kib, mib, "bytes", "Maximum record size in the snapshot stream."),
        size("limits.snapshot_records", field<&root::limits, &limit_settings::snapshot_records>, 1000, 10,
             1'000'000, "records", "Records after which the compactor appends a snapshot."),
        size("limits.concurrent_snapshot_pulls",
             field<&root::limits, &limit_settings::concurrent_snapshot_pulls>, 8, 1, 256, "pulls",
             "Concurrent snapshots that a daemon sends; further peers are told to retry."),
        size("limits.timeline_events", field<&root::limits, &limit_settings::timeline_events>, 8192, 16,
             max_ring_capacity, "events", "Events that the timeline keeps."),
        size("limits.timeline_bytes", field<&root::limits, &limit_settings::timeline_bytes>, 8 * mib,
             64 * kib, 1024 * mib, "bytes", "Estimated size of the events that the timeline keeps."),

        duration("timing.swim_period", field<&root::timing, &timing_settings::swim_period>, 500ms, 20ms, 10s,
                 "Interval of the failure detector's probes."),
        duration("timing.swim_ack_timeout", field<&root::timing, &timing_settings::swim_ack_timeout>, 200ms,
                 5ms, 5s, "Timeout of a direct probe, after which other members probe indirectly."),
        duration("timing.suspicion", field<&root::timing, &timing_settings::suspicion>, 2s, 50ms, 1min,
                 "Time in which a suspected member can refute the suspicion before it is declared dead."),
        duration("timing.table_sync", field<&root::timing, &timing_settings::table_sync>, 10s, 100ms, 10min,
                 "Interval between full reconciliations of the member table."),
        duration("timing.pull_interval", field<&root::timing, &timing_settings::pull_interval>, 2s, 50ms, 5s,
                 "Interval between pulls of configuration from a random peer. The maximum leaves room "
                 "for a second pull within the 11 s in which a change must become active."),
        duration("timing.first_pull_jitter", field<&root::timing, &timing_settings::first_pull_jitter>, 1s,
                 0ms, 10s,
                 "Random delay of the first pull, which spreads the load after many daemons start at once."),
        duration("timing.progress_interval", field<&root::timing, &timing_settings::progress_interval>, 5s,
                 100ms, 1min, "Interval between reports of the applied version to the log readers."),
        duration("timing.heartbeat", field<&root::timing, &timing_settings::heartbeat>, 500ms, min_heartbeat,
                 max_heartbeat,
                 "Interval at which the local target announces itself. Where the configuration comes as "
                 "documents, the platform's terms replace it."),
        {"timing.missed_heartbeats",
         count_entry{field<&root::timing, &timing_settings::missed_heartbeats>, 3, 1, 20},
         "Missed announcements after which the local target receives no new work."},
        duration("timing.floor_retention", field<&root::timing, &timing_settings::floor_retention>, 24h, 1min,
                 168h, "Time for which peers remember the version that a dead host had applied."),
        duration("timing.snapshot_interval", field<&root::timing, &timing_settings::snapshot_interval>, 1h,
                 1s, 24h,
                 "Time after which the compactor appends a snapshot even if there were few records."),
        duration("timing.peer_request_timeout", field<&root::timing, &timing_settings::peer_request_timeout>,
                 2s, 50ms, 1min, "Timeout of a control request to a peer."),
        duration("timing.connect_timeout", field<&root::timing, &timing_settings::connect_timeout>, 1s, 10ms,
                 30s, "Timeout for connecting to a peer or to the local target."),

        duration("calls.longest_deadline", field<&root::calls, &call_settings::longest_deadline>, 10min, 1s,
                 24h, "Maximum deadline that a route may set. Call ids are remembered for this time."),
        duration("calls.key_window", field<&root::calls, &call_settings::key_window>, 2min, 1s, 24h,
                 "Time for which an idempotency key is remembered, and for which a target must be known "
                 "before calls with a key are sent to it."),
        {"calls.drain_limit",
         optional_duration_entry{field<&root::calls, &call_settings::drain_limit>, 1s, 24h},
         "Maximum wait for calls in flight at a planned stop. If unset, a stop interrupts no call."},
        {"calls.inner_calls_first", flag_entry{field<&root::calls, &call_settings::inner_calls_first>, false},
         "A call that a running request of a target makes precedes all calls from outside at its target, "
         "whatever their priority. Used when the configuration comes as documents."},
        {"calls.balancing",
         choice_entry{
             [](daemon_settings& s, std::size_t i) { s.calls.balancing = static_cast<balancing_choice>(i); },
             [](const daemon_settings& s) { return static_cast<std::size_t>(s.calls.balancing); },
             {"peak_ewma", "load_aware"},
             0},
         "Balancing of services whose source states no policy, as documents do. load_aware takes the "
         "targets' "
         "speeds and the age of their load reports into account."},

        {"rollout.enabled", flag_entry{field<&root::rollout, &rollout_settings::enabled>, false},
         "Moves the calls of a service to targets of another version in stages, when an operator orders it. "
         "Used when the configuration comes as documents."},
        {"rollout.max_share",
         real_entry{field<&root::rollout, &rollout_settings::max_share>, 0.1, 0.01, 0.5, "share"},
         "Share of a service's calls during a roll-out that a bad version may receive."},
        size("rollout.share_slack", field<&root::rollout, &rollout_settings::share_slack>, 50, 0, 100'000,
             "calls", "Calls that a bad version may receive beyond that share."),
        duration("rollout.rollback_time", field<&root::rollout, &rollout_settings::rollback_time>, 5s, 1s,
                 1min, "Time from the 50th bad response of a version after which it receives no calls."),

        {"logging.level",
         choice_entry{[](daemon_settings& s, std::size_t i) { s.logging.level = static_cast<log_level>(i); },
                      [](const daemon_settings& s) { return static_cast<std::size_t>(s.logging.level); },
                      {"debug", "info", "warning", "error"},
                      1},
         "Minimum level of events that are written to standard output."},

        {"baseline.log_reading",
         choice_entry{
             [](daemon_settings& s, std::size_t i) {
                 s.baseline.log_reading = static_cast<log_reading_mode>(i);
             },
             [](const daemon_settings& s) { return static_cast<std::size_t>(s.baseline.log_reading); },
             {"roles", "every_daemon"},
             0},
         "Which daemons read the platform log: two of a failure domain, or every daemon."},
        {"baseline.admission",
         choice_entry{
             [](daemon_settings& s, std::size_t i) { s.baseline.admission = static_cast<admission_mode>(i); },
             [](const daemon_settings& s) { return static_cast<std::size_t>(s.baseline.admission); },
             {"on", "off_shared_fifo"},
             0},
         "Admission to the local target: with classes, deadlines and fairness, or a single queue in order of "
         "arrival."},

        {"testing.allow_fault_injection",
         flag_entry{field<&root::testing, &testing_settings::allow_fault_injection>, false},
         "Lets operators block links to other hosts. Needs the operators' listener on a loopback address."},
    };
}

} // namespace

std::span<const entry> entries() {
    static const std::vector<entry> all = make_entries();
    return all;
}

std::span<const section> sections() {
    static constexpr std::array<section, 13> all{{
        {"identity", "Identity of this daemon."},
        {"listeners", "Listening addresses. Port 0 lets the operating system choose a port."},
        {"target", "The target on this host."},
        {"gossip", "Discovery of the other daemons of the mesh."},
        {"platform", "The platform's append-only log."},
        {"rings", "Capacities of the rings between the daemon's duties."},
        {"limits", "Bounds on memory, threads and connections."},
        {"timing", "Intervals and timeouts of the control plane."},
        {"calls", "Deadlines, idempotency keys and draining of calls."},
        {"rollout", "Staged moves of calls to targets of another version."},
        {"logging", "The event log."},
        {"baseline", "Simpler algorithms, for measurements only."},
        {"testing", "Fault injection for tests."},
    }};
    return all;
}

} // namespace boragehollow::settings
