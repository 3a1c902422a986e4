#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Typed settings of one daemon. Defaults, ranges, units and descriptions of the entries are in
/// src/entries.cpp.
namespace boragehollow::settings {

using common::endpoint;
using std::chrono::milliseconds;

/// Ranges of entries that the adapter to a platform may also set.
inline constexpr milliseconds min_heartbeat{20};
inline constexpr milliseconds max_heartbeat{std::chrono::minutes(10)};
inline constexpr double min_link_megabits = 0.1;
inline constexpr double max_link_megabits = 1'000'000;

struct identity_settings {
    std::string mesh;
    std::string host;
    std::string failure_domain;
    std::string region;
};

/// Addresses of the listening sockets. Port 0 lets the operating system choose a port.
struct listener_settings {
    endpoint callers;
    endpoint operators;
    endpoint peer;                     ///< gRPC between daemons (TCP).
    endpoint gossip;                   ///< Datagrams of the failure detector (UDP).
    endpoint target;                   ///< Announcements of the target on this host.
    std::optional<endpoint> readiness; ///< Readiness endpoint for the platform (HTTP).
};

/// Expected identity of the target on this host; announcements of another service or address are refused.
struct target_settings {
    std::optional<std::string> service;
    std::optional<endpoint> address;
};

struct gossip_settings {
    std::vector<endpoint> seeds;
};

/// Source of the configuration: changes that operators of this product append to the platform's log, or
/// complete versioned documents that the platform's own operators write.
enum class configuration_source { changes, documents };

struct platform_settings {
    configuration_source configuration = configuration_source::changes;
    std::optional<endpoint> log;
    std::string terms; ///< The platform's own description of this host and of its contracts; may be empty.
    std::vector<std::string> contracts; ///< Contracts in force. Filled by the adapter to the platform.
    std::vector<std::string> bounds;    ///< Their figures, as `name=value`. Filled by the adapter.
    milliseconds request_timeout{};
    milliseconds long_poll{};
    milliseconds min_backoff{};
    milliseconds max_backoff{};
};

/// Capacities of the rings between duties, in messages.
struct ring_settings {
    std::size_t log_reader = 0;
    std::size_t spreading = 0;
    std::size_t apply = 0;
    std::size_t publisher = 0;
    std::size_t membership = 0;
    std::size_t dispatch = 0;
    std::size_t admission = 0;
    std::size_t target_front = 0;
    std::size_t timeline = 0;
    std::size_t peer_sender = 0;
};

struct limit_settings {
    std::size_t memory_mb = 0;
    std::size_t memory_base_mb = 0;
    std::size_t small_body_reserve_mb = 0;
    std::size_t min_transfer_bytes_per_s = 0;
    std::size_t caller_connections = 0;
    std::size_t connections_per_address = 0;
    std::size_t max_descriptors = 0;
    std::size_t reserved_descriptors = 0;
    std::size_t operator_body_bytes = 0;
    std::size_t header_bytes = 0;
    std::size_t caller_threads = 0;
    std::size_t operator_threads = 0;
    std::size_t target_threads = 0;
    std::size_t target_connections = 0;
    std::size_t recent_records = 0;
    std::size_t recent_record_bytes = 0;
    std::size_t snapshot_chunk_bytes = 0;
    std::size_t snapshot_records = 0;
    std::size_t concurrent_snapshot_pulls = 0;
    std::size_t timeline_events = 0;
    std::size_t timeline_bytes = 0;
    double link_megabits = 0;
};

struct timing_settings {
    milliseconds swim_period{};
    milliseconds swim_ack_timeout{};
    milliseconds suspicion{};
    milliseconds table_sync{};
    milliseconds pull_interval{};
    milliseconds first_pull_jitter{};
    milliseconds progress_interval{};
    milliseconds heartbeat{};
    std::uint32_t missed_heartbeats = 0;
    milliseconds floor_retention{};
    milliseconds snapshot_interval{};
    milliseconds peer_request_timeout{};
    milliseconds connect_timeout{};
};

/// Balancing of services whose source states no policy.
enum class balancing_choice { peak_ewma, load_aware };

struct call_settings {
    milliseconds longest_deadline{};
    milliseconds key_window{};
    std::optional<milliseconds> drain_limit; ///< Unset: a planned stop waits for the last call in flight.
    /// Calls of running requests precede the calls from outside at a target.
    bool inner_calls_first = false;
    balancing_choice balancing = balancing_choice::peak_ewma;
};

/// Staged moves of a service's calls to targets of another version.
struct rollout_settings {
    bool enabled = false;
    double max_share = 0;
    std::size_t share_slack = 0;
    milliseconds rollback_time{};
};

enum class log_level { debug, info, warning, error };

struct logging_settings {
    log_level level = log_level::info;
};

/// Which daemons read the platform log: the two elected readers of a failure domain, or every daemon
/// (baseline).
enum class log_reading_mode { roles, every_daemon };

/// Admission control on, or one first-in-first-out queue shared by all calls (baseline).
enum class admission_mode { on, off_shared_fifo };

/// Simpler algorithms that serve as the baseline of measurements.
struct baseline_settings {
    log_reading_mode log_reading = log_reading_mode::roles;
    admission_mode admission = admission_mode::on;
};

struct testing_settings {
    bool allow_fault_injection = false;
};

struct daemon_settings {
    identity_settings identity;
    listener_settings listeners;
    target_settings target;
    gossip_settings gossip;
    platform_settings platform;
    ring_settings rings;
    limit_settings limits;
    timing_settings timing;
    call_settings calls;
    rollout_settings rollout;
    logging_settings logging;
    baseline_settings baseline;
    testing_settings testing;
};

} // namespace boragehollow::settings
