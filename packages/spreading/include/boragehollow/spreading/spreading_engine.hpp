#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/spreading/effects.hpp"
#include "boragehollow/spreading/floor_table.hpp"
#include "boragehollow/spreading/peer_view.hpp"
#include "boragehollow/spreading/record_store.hpp"
#include "boragehollow/spreading/settings.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace boragehollow::spreading {

using common::steady_time;

/// Extent of the platform's configuration stream.
struct log_extent {
    revision first_retained{1}; ///< First offset that the stream still holds.
    revision next_offset{1};    ///< Offset that the next record will get.
};

/// Decides which records and snapshots are applied and to which peers they are sent, and whether this daemon
/// may serve. Owned by the spreading duty; has no threads, locks, clocks or sockets.
class spreading_engine {
public:
    spreading_engine(spreading_settings settings, common::random_source random, steady_time now);

    /// The log reader read these records, in offset order.
    effects records_read(const std::vector<log_record>& records, steady_time now);

    /// The log reader reached the end of the stream, after calls of `records_read`. Also called when a read
    /// started after a gap, so that expired records are detected.
    effects log_end_reached(log_extent extent, steady_time now);

    /// The platform cannot be read.
    effects log_unavailable(steady_time now);

    effects push_received(const std::string& from, const std::vector<log_record>& records, steady_time now);
    effects pull_received(std::uint64_t ticket, const pull_request& request, steady_time now);

    /// The reply to `ticket` was sent or lost, and no longer counts as a snapshot transfer.
    void pull_reply_sent(std::uint64_t ticket);

    effects pull_replied(std::uint64_t id, const std::string& peer, pull_reply content, steady_time now);
    effects pull_failed(std::uint64_t id, steady_time now);

    /// The newest snapshot of the platform's snapshot stream was read.
    effects snapshot_read(encoded_snapshot snapshot, steady_time now);
    effects snapshot_read_failed(steady_time now);

    /// The snapshot was appended to the platform's stream.
    effects snapshot_appended(revision version, steady_time now);
    effects snapshot_append_failed(steady_time now);

    /// The apply duty's state is at `version`.
    effects applied(revision version, std::uint64_t digest, steady_time now);

    /// The apply duty did not apply what it was passed: it could not decode a snapshot, or records did not
    /// reach it. All records after its state are fetched again.
    effects apply_failed(steady_time now);

    effects members_changed(peer_view view, steady_time now);

    /// A host stated in a ping, ack or progress report that it has applied `version`.
    void version_observed(const std::string& host, revision version, steady_time now);

    /// This daemon was paused or declared dead, and has to pull before it serves again.
    effects contact_lost(steady_time now);

    effects tick(steady_time now);
    steady_time next_wakeup() const;

    bool ready() const { return m_ready; }
    revision applied_version() const { return m_applied; }
    std::uint64_t applied_digest() const { return m_digest; }
    revision held_version() const { return m_store.last(); }
    /// Returns the minimum version at which this daemon may become ready.
    revision required_version() const { return m_required; }
    const floor_table& floors() const { return m_floors; }
    const spreading_settings& settings() const { return m_settings; }

private:
    struct outstanding_pull {
        std::uint64_t id = 0;
        steady_time deadline;
    };

    void detect_pause(steady_time now, effects& out);
    void require_reverification(steady_time now, effects& out);

    // Records and snapshots (spreading_engine.cpp).
    void accept_records(const std::vector<log_record>& records, bool forward, const std::string& from,
                        steady_time now, effects& out);
    void accept_snapshot(encoded_snapshot snapshot, effects& out);
    void apply_contiguous(effects& out);
    void queue_push(const std::vector<log_record>& records, const std::string& from);
    void flush_pushes(steady_time now, effects& out);
    std::vector<std::string> choose_push_peers();
    void compare_digest(const std::string& peer, revision version, std::uint64_t theirs, effects& out) const;
    void update_readiness(steady_time now, effects& out);

    // Pulls (spreading_pulls.cpp).
    bool accept_reply_body(pull_reply_body body, const std::string& peer, steady_time now, effects& out);
    void start_pull(steady_time now, effects& out);
    void handle_pull_failure(steady_time now, effects& out);
    void count_failed_reverification(steady_time now, effects& out);
    steady_time pull_due() const;
    std::string choose_pull_peer();
    std::size_t other_domain_pull_every() const;
    milliseconds pull_timeout() const;
    milliseconds regular_interval() const;
    milliseconds jittered(milliseconds interval);
    pull_reply_body make_reply_body(std::uint64_t ticket, const pull_request& request, steady_time now);
    pull_reply_body make_snapshot_body(std::uint64_t ticket, steady_time now);

    // The platform's streams (spreading_platform.cpp).
    bool next_record_expired() const { return m_store.last().next() < m_extent.first_retained; }
    void update_log_reading(steady_time now, effects& out);
    void restart_log_reading(effects& out) const;
    void request_snapshot_if_needed(steady_time now, effects& out);
    void update_compaction(steady_time now, effects& out);
    std::optional<steady_time> compaction_due() const;

    spreading_settings m_settings;
    common::random_source m_random;
    peer_view m_view;
    record_store m_store;
    floor_table m_floors;
    steady_time m_started;
    steady_time m_last_call;
    steady_time m_next_prune;

    revision m_applied;
    std::uint64_t m_digest = 0;
    std::deque<std::pair<revision, std::uint64_t>> m_digests; ///< Digests of the recent own versions.

    revision m_required;     ///< Maximum of the floor, the versions of ready peers and the end of the log.
    bool m_verified = false; ///< A ready peer replied, or the log was read up to its end.
    bool m_ready = false;
    bool m_was_ready = false;
    int m_reverify_failures = 0;

    std::optional<outstanding_pull> m_pull;
    std::uint64_t m_last_pull_id = 0;
    int m_failed_pulls = 0;
    /// The next pull is sent to a log reader, which knows the floors of its domain.
    bool m_pull_from_reader = true;
    steady_time m_next_pull;
    std::optional<steady_time> m_gap_due; ///< When the records missing after a push are pulled.
    std::string m_preferred_peer;         ///< Peer known to have records that this daemon lacks.

    std::vector<log_record> m_outgoing;
    std::size_t m_outgoing_bytes = 0;
    std::string m_outgoing_sender; ///< Peer that sent the outgoing records, and is left out of the push.
    steady_time m_next_flush;

    std::map<std::uint64_t, steady_time> m_transfers; ///< Snapshot transfers in progress: ticket and expiry.

    log_extent m_extent;
    bool m_log_reachable = true;
    bool m_reading = false;
    /// When a snapshot may be requested from the platform again.
    std::optional<steady_time> m_snapshot_retry;

    std::optional<steady_time> m_compactor_since;
    std::optional<revision> m_compacted; ///< Last version known to be in the snapshot stream.
    steady_time m_compacted_at;
    std::optional<steady_time> m_append_not_before; ///< No further append before this time.
};

} // namespace boragehollow::spreading
