#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// Catalogue of the numbered events. docs/events.md documents them for operators; a test checks that both
/// agree.
namespace boragehollow::telemetry {

enum class event_level { debug, info, warning, error };

/// Log channel, one for each component. Each channel has its own range of 100 event numbers.
enum class event_channel {
    daemon,
    settings,
    platform,
    config,
    spreading,
    membership,
    dispatch,
    admission,
    target,
    operators,
    peer,
    testing,
    rollout,
};

enum class event_number : std::uint16_t {
    daemon_starting = 1001,
    daemon_ready = 1002,
    daemon_not_ready = 1003,
    daemon_stop_requested = 1004,
    daemon_drained = 1005,
    daemon_drain_limit_reached = 1006,
    daemon_stopped = 1007,
    daemon_failed = 1008,
    listener_opened = 1009,
    listener_failed = 1010,
    ring_overflow = 1011,
    memory_pressure = 1012,
    connection_limit_reached = 1013,

    settings_loaded = 1101,
    settings_rejected = 1102,
    settings_baseline_active = 1103,
    settings_reloaded = 1104,
    settings_terms_unreadable = 1105,
    settings_term_replaced = 1106,

    log_reader_started = 1201,
    log_reader_stopped = 1202,
    log_unreachable = 1203,
    log_reachable_again = 1204,
    log_gap = 1205,
    log_slow = 1206,
    append_accepted = 1207,
    append_answer_lost = 1208,
    append_found_again = 1209,
    append_refused = 1210,
    snapshot_appended = 1211,
    snapshot_append_failed = 1212,
    log_reply_invalid = 1213,
    log_restored = 1214,
    log_reader_substituted = 1215,

    config_applied = 1301,
    config_rejected = 1302,
    config_undecodable = 1303,
    config_schema_unknown = 1304,
    config_digest_differs = 1305,
    config_snapshot_loaded = 1306,
    config_snapshot_refused = 1307,
    config_older_version_refused = 1308,
    config_schema_activated = 1309,
    config_fetched_from_peer = 1310,

    spread_records_received = 1401,
    spread_pull_answered = 1402,
    spread_pull_failed = 1403,
    spread_snapshot_served = 1404,
    spread_snapshot_deferred = 1405,
    spread_gap_waiting = 1406,
    spread_floor_learned = 1407,
    spread_floor_reached = 1408,
    spread_compactor_elected = 1409,

    member_joined = 1501,
    member_suspected = 1502,
    member_dead = 1503,
    member_left = 1504,
    member_refuted_suspicion = 1505,
    member_replaced = 1506,
    member_table_synced = 1507,
    member_role_gained = 1508,
    member_role_lost = 1509,
    domain_unreachable = 1510,
    datagram_invalid = 1511,
    member_registered = 1512,
    member_registration_failed = 1513,
    member_seeds_found = 1514,
    member_entries_skipped = 1515,

    dispatch_no_target = 1601,
    dispatch_target_ejected = 1602,
    dispatch_target_returned = 1603,
    dispatch_panic_entered = 1604,
    dispatch_panic_left = 1605,
    dispatch_retry_budget_spent = 1606,
    dispatch_call_unknown = 1607,
    dispatch_call_not_run = 1608,
    call_ended = 1609,
    call_without_route = 1610,
    call_lines_suppressed = 1611,
    call_unauthorized = 1612,
    call_over_limit = 1613,
    quota_owner_changed = 1614,

    admission_queue_full = 1701,
    admission_refused_deadline = 1702,
    admission_limit_lowered = 1703,
    admission_limit_raised = 1704,
    admission_duplicate_id = 1705,
    admission_duplicate_key = 1706,
    admission_queue_returned = 1707,
    admission_long_reclassified = 1708,
    call_ran = 1709,
    call_not_admitted = 1710,

    target_announced = 1801,
    target_draining = 1802,
    target_silent = 1803,
    target_returned = 1804,
    target_announcement_invalid = 1805,
    target_connect_failed = 1806,
    target_transfer_broken = 1807,
    target_announcement_outdated = 1808,
    target_left = 1809,
    target_history_restored = 1810,
    target_history_unsaved = 1811,
    target_withdrawal_unconfirmed = 1812,

    operator_change_accepted = 1901,
    operator_change_rejected = 1902,
    operator_change_unknown = 1903,
    operator_request_invalid = 1904,
    operator_watch_opened = 1905,
    operator_watch_closed = 1906,

    peer_connected = 2001,
    peer_unreachable = 2002,
    peer_wrong_mesh = 2003,
    peer_wrong_protocol = 2004,
    peer_request_failed = 2005,
    peer_message_invalid = 2006,

    testing_links_blocked = 2101,
    testing_links_restored = 2102,
    testing_refused = 2103,

    rollout_ordered = 2201,
    rollout_coordinating = 2202,
    rollout_stage_entered = 2203,
    rollout_decided = 2204,
    rollout_recorded = 2205,
    rollout_record_failed = 2206,
    rollout_coordinator_replaced = 2207,
    rollout_message_invalid = 2208,
    rollout_order_invalid = 2209,
    rollout_order_superseded = 2210,
};

struct event_description {
    event_number number;
    event_level level;
    event_channel channel;
    std::string_view name; ///< Short identifier, as in the enumeration.
    std::string_view meaning;
};

/// All events in the order of their numbers.
std::span<const event_description> event_catalogue();

/// Returns null for a number that is not in the catalogue; a peer of another release may send one.
const event_description* find_event(std::uint16_t number);

/// Code of an event as printed in the log: `BH` and four digits, such as `BH1203`.
std::string event_code(std::uint16_t number);

std::string_view to_string(event_level level);
std::string_view to_string(event_channel channel);

/// True when the number lies in the range of the channel.
bool belongs_to_channel(std::uint16_t number, event_channel channel);

} // namespace boragehollow::telemetry
