#include "entries.hpp"

namespace boragehollow::settings {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::size_t largest_ring = 1'048'576;

using root = daemon_settings;

/// Place of a member of one section.
template <auto Section, auto Member>
auto& at(daemon_settings& settings) {
    return settings.*Section.*Member;
}

entry ring(std::string_view key, place<std::size_t> at, std::size_t fallback, std::string_view description) {
    return {key, size_entry{at, fallback, 1, largest_ring, "messages"}, description};
}

entry size(std::string_view key, place<std::size_t> at, std::size_t fallback, std::size_t least,
           std::size_t most, std::string_view unit, std::string_view description) {
    return {key, size_entry{at, fallback, least, most, unit}, description};
}

entry duration(std::string_view key, place<milliseconds> at, milliseconds fallback, milliseconds least,
               milliseconds most, std::string_view description) {
    return {key, duration_entry{at, fallback, least, most}, description};
}

std::vector<entry> make_entries() {
    return {
        {"identity.mesh", name_entry{at<&root::identity, &identity_settings::mesh>},
         "Name of the mesh. Daemons of another mesh are refused."},
        {"identity.host", name_entry{at<&root::identity, &identity_settings::host>},
         "Name of this host, unique in the mesh."},
        {"identity.failure_domain", name_entry{at<&root::identity, &identity_settings::failure_domain>},
         "Failure domain of this host."},
        {"identity.region", name_entry{at<&root::identity, &identity_settings::region>},
         "Region of this host."},

        {"listeners.callers",
         endpoint_entry{at<&root::listeners, &listener_settings::callers>, "0.0.0.0:7080"}, "Calls (HTTP)."},
        {"listeners.operators",
         endpoint_entry{at<&root::listeners, &listener_settings::operators>, "127.0.0.1:7081"},
         "Operators, metrics and health (HTTP)."},
        {"listeners.peer", endpoint_entry{at<&root::listeners, &listener_settings::peer>, ""},
         "Other daemons (gRPC). Other hosts connect to this address, so it cannot be a wildcard."},
        {"listeners.gossip", endpoint_entry{at<&root::listeners, &listener_settings::gossip>, ""},
         "Failure detector (UDP). Other hosts send to this address, so it cannot be a wildcard."},
        {"listeners.target",
         endpoint_entry{at<&root::listeners, &listener_settings::target>, "127.0.0.1:7084"},
         "Announcements of the target on this host (HTTP)."},
        {"listeners.readiness", optional_endpoint_entry{at<&root::listeners, &listener_settings::readiness>},
         "Readiness for the platform (HTTP). Used where the configuration comes as documents."},

        {"target.service", optional_name_entry{at<&root::target, &target_settings::service>},
         "Service of the target on this host. Announcements of another one are refused."},
        {"target.address", optional_endpoint_entry{at<&root::target, &target_settings::address>},
         "Address of the target on this host. Announcements of another one are refused."},

        {"gossip.seeds", endpoint_list_entry{at<&root::gossip, &gossip_settings::seeds>},
         "Gossip endpoints of other daemons that a starting daemon contacts first. Empty on the first daemon "
         "of a mesh."},

        {"platform.configuration",
         choice_entry{[](daemon_settings& s, std::size_t i) {
                          s.platform.configuration = static_cast<configuration_source>(i);
                      },
                      {"changes", "documents"},
                      0},
         "Where the configuration comes from: changes that operators append through this product, or whole "
         "numbered documents that the platform's operators write."},
        {"platform.log", optional_endpoint_entry{at<&root::platform, &platform_settings::log>},
         "Endpoint of the platform log. Without it the daemon depends on its peers and accepts no changes."},
        duration("platform.request_timeout", at<&root::platform, &platform_settings::request_timeout>, 5s,
                 100ms, 2min, "Longest wait for an answer of the platform log, on top of the long poll."),
        duration("platform.long_poll", at<&root::platform, &platform_settings::long_poll>, 10s, 100ms, 1min,
                 "Time for which a read at the head of the stream waits for a record."),
        duration("platform.min_backoff", at<&root::platform, &platform_settings::min_backoff>, 100ms, 10ms,
                 1min, "First delay after a failed request; it doubles with each further failure."),
        duration("platform.max_backoff", at<&root::platform, &platform_settings::max_backoff>, 2s, 10ms,
                 10min, "Longest delay between failed requests."),

        ring("rings.log_reader", at<&root::rings, &ring_settings::log_reader>, 16,
             "Wake-ups of the log reader."),
        ring("rings.spreading", at<&root::rings, &ring_settings::spreading>, 4096,
             "Messages to the spreading duty."),
        ring("rings.apply", at<&root::rings, &ring_settings::apply>, 4096, "Records to the apply duty."),
        ring("rings.publisher", at<&root::rings, &ring_settings::publisher>, 256,
             "Changes to the publisher."),
        ring("rings.membership", at<&root::rings, &ring_settings::membership>, 4096,
             "Messages to the membership duty."),
        ring("rings.dispatch", at<&root::rings, &ring_settings::dispatch>, 4096,
             "Calls to the dispatch duty."),
        ring("rings.admission", at<&root::rings, &ring_settings::admission>, 4096,
             "Calls to the admission duty."),
        ring("rings.target_front", at<&root::rings, &ring_settings::target_front>, 256,
             "Announcements of the local target."),
        ring("rings.timeline", at<&root::rings, &ring_settings::timeline>, 8192,
             "Events to the timeline duty."),
        ring("rings.peer_sender", at<&root::rings, &ring_settings::peer_sender>, 1024,
             "Control requests to peers."),

        {"limits.link_megabits",
         rate_entry{at<&root::limits, &limit_settings::link_megabits>, 1'000, 0.1, 1'000'000, "Mbit/s"},
         "Rate of this host's link. Other daemons send large bodies at a part of it."},
        size("limits.operator_body_bytes", at<&root::limits, &limit_settings::operator_body_bytes>, mib, kib,
             64 * mib, "bytes", "Largest request body of an operator."),
        size("limits.header_bytes", at<&root::limits, &limit_settings::header_bytes>, 16 * kib, kib, mib,
             "bytes", "Largest header of a request, all lines together."),
        size("limits.caller_threads", at<&root::limits, &limit_settings::caller_threads>, 160, 1, 4096,
             "threads", "Calls that this daemon accepts at once; each holds one thread for its whole life."),
        size("limits.operator_threads", at<&root::limits, &limit_settings::operator_threads>, 8, 2, 256,
             "threads", "Requests of operators at once. A watch holds one thread."),
        size("limits.target_threads", at<&root::limits, &limit_settings::target_threads>, 2, 1, 64, "threads",
             "Announcements of the local target at once."),
        size("limits.target_connections", at<&root::limits, &limit_settings::target_connections>, 130, 1,
             4096, "connections", "Connections to the local target at once."),
        size("limits.recent_records", at<&root::limits, &limit_settings::recent_records>, 1024, 16, 65'536,
             "records", "Configuration records that the daemon keeps for its peers."),
        size("limits.recent_record_bytes", at<&root::limits, &limit_settings::recent_record_bytes>, 4 * mib,
             64 * kib, 64 * mib, "bytes", "Size of the records that the daemon keeps for its peers."),
        size("limits.snapshot_chunk_bytes", at<&root::limits, &limit_settings::snapshot_chunk_bytes>,
             256 * kib, kib, mib, "bytes", "Largest record of the snapshot stream."),
        size("limits.snapshot_records", at<&root::limits, &limit_settings::snapshot_records>, 1000, 10,
             1'000'000, "records", "Records after which the compactor appends a snapshot."),
        size("limits.concurrent_snapshot_pulls",
             at<&root::limits, &limit_settings::concurrent_snapshot_pulls>, 8, 1, 256, "pulls",
             "Snapshots that a daemon sends at once; further peers are told to retry."),
        size("limits.timeline_events", at<&root::limits, &limit_settings::timeline_events>, 8192, 16,
             largest_ring, "events", "Events that the timeline keeps."),

        duration("timing.swim_period", at<&root::timing, &timing_settings::swim_period>, 500ms, 20ms, 10s,
                 "Period of the failure detector's probes."),
        duration("timing.swim_ack_timeout", at<&root::timing, &timing_settings::swim_ack_timeout>, 200ms, 5ms,
                 5s, "Wait for an answer before other members probe in this daemon's place."),
        duration("timing.suspicion", at<&root::timing, &timing_settings::suspicion>, 2s, 50ms, 1min,
                 "Time in which a suspected member can refute before it counts as dead."),
        duration("timing.table_sync", at<&root::timing, &timing_settings::table_sync>, 10s, 100ms, 10min,
                 "Interval between full reconciliations of the member table."),
        duration("timing.pull_interval", at<&root::timing, &timing_settings::pull_interval>, 2s, 50ms, 5s,
                 "Interval between pulls of configuration from a random peer. The longest value leaves room "
                 "for a second pull within the 11 s in which a change has to be in force."),
        duration("timing.first_pull_jitter", at<&root::timing, &timing_settings::first_pull_jitter>, 1s, 0ms,
                 10s,
                 "Random delay of the first pull, which spreads the load after many daemons start at once."),
        duration("timing.progress_interval", at<&root::timing, &timing_settings::progress_interval>, 5s,
                 100ms, 1min, "Interval between reports of the applied version to the log readers."),
        duration("timing.heartbeat", at<&root::timing, &timing_settings::heartbeat>, 500ms, 20ms, 2s,
                 "Interval in which the local target announces itself."),
        {"timing.missed_heartbeats",
         count_entry{at<&root::timing, &timing_settings::missed_heartbeats>, 3, 1, 20},
         "Missed announcements after which the local target receives no new work."},
        duration("timing.floor_retention", at<&root::timing, &timing_settings::floor_retention>, 24h, 1min,
                 168h, "Time for which peers remember the version that a dead host had applied."),
        duration("timing.snapshot_interval", at<&root::timing, &timing_settings::snapshot_interval>, 1h, 1s,
                 24h, "Time after which the compactor appends a snapshot, also after few records."),
        duration("timing.peer_request_timeout", at<&root::timing, &timing_settings::peer_request_timeout>, 2s,
                 50ms, 1min, "Longest wait for a peer's answer to a control request."),
        duration("timing.connect_timeout", at<&root::timing, &timing_settings::connect_timeout>, 1s, 10ms,
                 30s, "Longest wait for a connection to a peer or to the local target."),

        duration("calls.longest_deadline", at<&root::calls, &call_settings::longest_deadline>, 10min, 1s, 24h,
                 "Longest deadline that a route may set. The ids of calls are remembered for this time."),
        duration("calls.key_window", at<&root::calls, &call_settings::key_window>, 2min, 1s, 24h,
                 "Time for which an idempotency key is remembered, and for which a target has to be known "
                 "before keyed calls go to it."),
        {"calls.drain_limit", optional_duration_entry{at<&root::calls, &call_settings::drain_limit>, 1s, 24h},
         "Longest wait for calls in flight at a planned stop. Without it a stop interrupts no call."},

        {"logging.level",
         choice_entry{[](daemon_settings& s, std::size_t i) { s.logging.level = static_cast<log_level>(i); },
                      {"debug", "info", "warning", "error"},
                      1},
         "Lowest level of events that are written to standard output."},

        {"baseline.log_reading",
         choice_entry{[](daemon_settings& s, std::size_t i) {
                          s.baseline.log_reading = static_cast<log_reading_mode>(i);
                      },
                      {"roles", "every_daemon"},
                      0},
         "Who reads the platform log: two daemons of a failure domain, or each daemon."},
        {"baseline.admission",
         choice_entry{
             [](daemon_settings& s, std::size_t i) { s.baseline.admission = static_cast<admission_mode>(i); },
             {"on", "off_shared_fifo"},
             0},
         "Admission to the local target: with classes, deadlines and fairness, or one queue in the order of "
         "arrival."},

        {"testing.allow_fault_injection",
         flag_entry{at<&root::testing, &testing_settings::allow_fault_injection>, false},
         "Lets operators block links to other hosts. Needs the operators' listener on a loopback address."},
    };
}

} // namespace

std::span<const entry> entries() {
    static const std::vector<entry> all = make_entries();
    return all;
}

std::span<const section> sections() {
    static constexpr std::array<section, 12> all{{
        {"identity", "Who this daemon is."},
        {"listeners", "Where the daemon listens. Port 0 lets the system choose a port."},
        {"target", "The target on this host."},
        {"gossip", "How the daemon finds the mesh."},
        {"platform", "The platform's append-only log."},
        {"rings", "Capacities of the rings between the daemon's duties."},
        {"limits", "Bounds on memory, threads and connections."},
        {"timing", "Periods and time-outs of the control plane."},
        {"calls", "Calls and their end."},
        {"logging", "The event log."},
        {"baseline", "Simpler ways of working, for measurements only."},
        {"testing", "Faults injected by tests."},
    }};
    return all;
}

} // namespace boragehollow::settings
