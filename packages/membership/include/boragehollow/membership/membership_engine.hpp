#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/revision.hpp"
#include "boragehollow/membership/datagram.hpp"
#include "boragehollow/membership/failure_detector.hpp"
#include "boragehollow/membership/gossip_queue.hpp"
#include "boragehollow/membership/log_read_filter.hpp"
#include "boragehollow/membership/member_table.hpp"
#include "boragehollow/membership/progress_collector.hpp"
#include "boragehollow/membership/reader_substitution.hpp"
#include "boragehollow/membership/synchronization.hpp"
#include "boragehollow/membership/target_directory.hpp"
#include "boragehollow/membership/target_directory_builder.hpp"
#include "boragehollow/membership/version_floors.hpp"
#include "boragehollow/membership/withdrawal_records.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace boragehollow::membership {

struct send_datagram {
    common::endpoint to;
    datagram value;
};

/// Synchronize with this member: send `begin_sync()` to it and pass the reply to `handle_sync_reply`.
struct start_sync {
    std::string host;
    common::endpoint peer;
};

/// The targets or the live members changed; `directory(now)` and `members()` have to be read again.
struct directory_changed {};

/// This daemon began or ended to read the platform's log in place of its failure domain's log readers;
/// `substitutes_reader()` has to be read again.
struct substitution_changed {};

enum class member_event_kind {
    joined,
    suspected,
    refuted,
    died,
    left,
    restarted, ///< A new process of a known host.
    target_changed,
    self_refuted,         ///< This daemon raised its incarnation to overrule an entry with a false state.
    announcement_refused, ///< The local announcement is too large for a datagram.
    name_conflict,        ///< Another process uses this daemon's host name.
};

/// A change of a member, to be recorded in the timeline.
struct member_event {
    member_event_kind kind = member_event_kind::joined;
    member_ref value;
};

/// Another daemon has told which instances of the local target were withdrawn before this process started.
struct own_withdrawals_received {
    std::vector<common::withdrawn_instance> withdrawn;
};

using membership_effect = std::variant<send_datagram, start_sync, directory_changed, substitution_changed,
                                       member_event, own_withdrawals_received>;
using membership_effects = std::vector<membership_effect>;

struct sync_request_result {
    sync_reply reply;
    membership_effects effects;
};

struct sync_reply_result {
    std::optional<sync_request> next; ///< Second request to the same peer, when one is needed.
    membership_effects effects;
};

struct progress_counts {
    std::size_t members = 0; ///< Live members of this daemon's failure domain.
    std::size_t at_or_past = 0;
    common::revision oldest;
};

struct member_counts {
    std::size_t alive = 0;
    std::size_t suspect = 0;
    std::size_t dead = 0;
    std::size_t left = 0;
};

struct membership_settings {
    std::chrono::milliseconds period{500};
    std::chrono::milliseconds ack_timeout{200};
    std::chrono::milliseconds suspicion{2000};
    /// A member that received a suspicion by gossip waits this much longer than the one whose probe failed,
    /// and then verifies it itself, in case a refutation or a death did not reach it.
    std::chrono::milliseconds remote_suspicion_grace{1000};
    std::size_t indirect_probes = 3;
    std::chrono::milliseconds sync_interval{10000};
    std::size_t sync_other_domain_every = 4; ///< One synchronization in this many is with another domain.
    std::chrono::milliseconds progress_interval{5000};
    /// Time for which a lost target stays in the directory: the window of idempotency keys.
    std::chrono::milliseconds lost_target_retention{std::chrono::minutes(2)};
    /// Rate and burst of piggybacked entries; a burst of changes beyond them is left to the synchronization.
    std::size_t gossip_bytes_per_second = 1200;
    std::size_t gossip_burst_bytes = 16 * 1024;
    /// Number of members to which this daemon sends a version as soon as it has applied it; 0 where versions
    /// are disseminated by other means. Log readers have their own number, to reach their whole failure
    /// domain.
    std::size_t version_fan_out_of_reader = 0;
    std::size_t version_fan_out = 0;
    /// Empty where other duties read the platform's log.
    std::optional<reader_substitution_settings> reader_substitution{};
};

/// SWIM membership protocol of one daemon, without threads, sockets or clocks: each call returns the effects
/// that its owner has to perform.
class membership_engine {
public:
    /// `self.incarnation` is the `first_incarnation` of the start of this process; `seeds` are UDP endpoints.
    membership_engine(member self, std::vector<common::endpoint> seeds, membership_settings settings,
                      common::random_source random, common::steady_time now);

    membership_effects receive(const datagram& received, const common::endpoint& from,
                               common::steady_time now);
    membership_effects announce_local_target(target_announcement announcement, common::steady_time now);
    /// Adds the withdrawn instances of the local target, the latest last, to this daemon's entry, so that
    /// they survive this process; as many of the latest as an entry may hold.
    membership_effects set_withdrawn(const std::vector<common::withdrawn_instance>& withdrawn,
                                     common::steady_time now);
    /// Members that can keep this daemon's entry: one of its failure domain and one of another, if there are
    /// any.
    std::vector<member_ref> pick_keepers();
    /// Request that gives this daemon's entry to a member. The member holds it if the reply has no other
    /// entry of this host.
    sync_request own_entry() const { return {{}, {m_self}, {}, false, {}}; }

    membership_effects set_applied_version(common::revision applied, common::steady_time now);

    /// Later datagrams carry this epoch of the platform log, unless a higher one is known.
    void set_log_epoch(std::uint64_t epoch) { m_log_epoch = std::max(m_log_epoch, epoch); }
    std::uint64_t log_epoch() const { return m_log_epoch; }

    /// A read of the platform's log at `read_at` found no version newer than the applied one. A log reader
    /// reports this to its failure domain.
    membership_effects confirm_log_read(common::steady_time read_at, common::steady_time now);
    /// Last time at which the applied version was known to be the newest; empty when unknown.
    std::optional<common::steady_time> last_log_read() const {
        return m_latest_read ? std::optional(m_latest_read->at) : std::nullopt;
    }

    /// True while this daemon reads the platform's log in place of the log readers.
    bool substitutes_reader() const { return m_substitution && m_substitution->is_active(); }

    /// Adds gossip endpoints of other daemons that were found after the start, and pings a few of them at
    /// once, so that a daemon which joins a running mesh knows members within a round trip.
    membership_effects add_seeds(const std::vector<common::endpoint>& seeds, common::steady_time now);

    sync_request begin_sync() const;
    sync_request_result handle_sync_request(const sync_request& request, common::steady_time now);
    sync_reply_result handle_sync_reply(const sync_reply& reply, common::steady_time now);

    /// Announces to the domain that this daemon leaves. Afterwards it acknowledges pings but sends no probes.
    membership_effects leave(common::steady_time now);
    membership_effects tick(common::steady_time now);
    common::steady_time next_wakeup() const;

    std::shared_ptr<const target_directory> directory(common::steady_time now);
    /// True when another daemon has sent its whole member table.
    bool has_whole_table() const { return m_has_whole_table; }
    const member& self() const { return *m_self; }
    member_ref find(std::string_view host) const;
    std::vector<member_ref> members() const;
    member_counts counts() const;
    /// Returns the alive and suspected hosts of a failure domain, this daemon included, sorted.
    std::vector<std::string> live_hosts(std::string_view failure_domain) const;
    std::vector<std::string> failure_domains() const;

    /// Returns the highest version that `host` is known to have applied within the retention time; 0 when
    /// unknown.
    common::revision floor(std::string_view host) const;
    progress_counts progress(common::revision version) const;

private:
    struct relayed_probe {
        common::endpoint requester;
        std::uint64_t requester_sequence = 0;
        std::string host;
        common::steady_time expires_at{};
    };

    struct dated_log_read {
        log_read read;
        common::steady_time at;
    };

    struct domain_roles {
        std::vector<std::string> readers;
        std::vector<std::string> collectors;
        std::unordered_map<std::uint64_t, std::string> host_by_hash;
    };

    // Messages and the member table (membership_engine.cpp, membership_engine_sync.cpp).
    void apply(const member_ref& received, common::steady_time now, membership_effects& effects);
    void apply_change(const merge_result& change, common::steady_time now, membership_effects& effects);
    void update_member_lists(const merge_result& change, common::steady_time now);
    void refute(const member& claim, common::steady_time now, membership_effects& effects);
    void publish_self(common::steady_time now, membership_effects& effects);
    void handle_ping(const datagram& received, const ping& request, const common::endpoint& from,
                     common::steady_time now, membership_effects& effects);
    void relay_probe(const indirect_ping& request, const common::endpoint& from, common::steady_time now,
                     membership_effects& effects);
    void handle_ack(const datagram& received, const ack& received_ack, common::steady_time now,
                    membership_effects& effects);
    void handle_progress_report(const datagram& received, const progress_report& report,
                                common::steady_time now);
    void apply_all(const std::vector<member_ref>& received, bool gossip, common::steady_time now,
                   membership_effects& effects);
    std::vector<common::withdrawn_instance> withdrawn_of(const std::string& host) const;
    common::steady_time first_seen_of(const member& value, common::steady_time now) const;

    // Reads of the platform's log (membership_engine_log_reads.cpp).
    void learn_log_read(const datagram& received, common::steady_time now, membership_effects& effects);
    void record_log_read(log_read read, common::steady_time read_at);
    void send_report(const std::vector<std::string>& hosts, common::steady_time now,
                     membership_effects& effects);
    bool is_log_reader(std::string_view host);
    /// True if this daemon reads the log for its failure domain.
    bool reads_log() { return is_log_reader(m_self->host) || substitutes_reader(); }
    bool is_confirmation_overdue(common::steady_time now) const;
    void decide_substitution(common::steady_time now);
    /// Adds an effect if the substitution began or ended since the last report.
    void report_substitution(membership_effects& effects);

    // Timers (membership_engine_timers.cpp).
    void detect_own_pause(common::steady_time now);
    void probe_next(common::steady_time now, membership_effects& effects);
    void send_probe(const member& probed, common::steady_time now, membership_effects& effects);
    void contact_seeds(common::steady_time now, membership_effects& effects);
    std::vector<common::endpoint> unknown_seeds() const;
    void ping_other_domains(std::size_t count, common::steady_time now, membership_effects& effects);
    void ping_dead_member(common::steady_time now, membership_effects& effects);
    void send_indirect_pings(common::steady_time now, membership_effects& effects);
    void suspect_failed(common::steady_time now, membership_effects& effects);
    void ping_suspected(common::steady_time now, membership_effects& effects);
    void declare_dead(common::steady_time now, membership_effects& effects);
    void push_urgent(common::steady_time now, membership_effects& effects);
    void push(const std::vector<member>& mandatory, common::steady_time now, membership_effects& effects);
    void disseminate_version(common::steady_time now, membership_effects& effects);
    /// Members of the own domain to which this daemon sends news; all of them if they are at most `fan_out`.
    std::vector<std::string> pick_receivers(std::size_t fan_out);
    void report_progress(common::steady_time now, membership_effects& effects);
    void forward_collected(common::steady_time now, membership_effects& effects);
    void start_next_sync(common::steady_time now, membership_effects& effects);
    void expire(common::steady_time now, membership_effects& effects);
    void publish_directory(common::steady_time now, membership_effects& effects);

    /// Builds a datagram with the `mandatory` entries first and queued entries in the remaining space.
    void send(const common::endpoint& to, datagram_body body, std::vector<member> mandatory,
              common::steady_time now, membership_effects& effects);
    /// Returns the roles in the own domain, computed again after the live members changed.
    const domain_roles& roles();
    void mark_directory_changed(common::steady_time now);
    std::size_t transmissions() const;
    bool is_own_domain(const member& value) const { return value.failure_domain == m_self->failure_domain; }
    bool has_left() const { return m_self->state == member_state::left; }
    /// True while other daemons may know of withdrawn instances of the local target that this one does not
    /// know of.
    bool misses_withdrawals() const { return !m_has_whole_table || m_startup_syncs > 0; }

    member_ref m_self;
    std::vector<common::endpoint> m_seeds;
    membership_settings m_settings;
    common::random_source m_random;
    common::steady_time m_started;
    common::revision m_applied;
    std::optional<dated_log_read> m_latest_read;
    log_read_filter m_known_log_reads;
    std::uint64_t m_process = 0; ///< Random number of this process; 0 before its first report of a read.
    std::uint64_t m_last_own_read = 0;
    std::optional<reader_substitution> m_substitution;
    bool m_reported_substitution = false;

    member_table m_table;
    target_directory_builder m_targets;
    version_floors m_floors;
    withdrawal_records m_withdrawals;
    progress_collector m_collector;
    std::optional<domain_roles> m_roles;
    gossip_queue m_queue;
    probe_order m_own_domain_members; ///< Live and suspected members of the own domain, without this daemon.
    probe_order m_other_domain_members; ///< Live and suspected members of all other domains.
    std::vector<std::string> m_dead;    ///< Dead members of the own domain.
    probe_tracker m_probes;
    suspicion_timers m_suspicions;
    std::map<std::uint64_t, relayed_probe> m_relayed;

    std::uint64_t m_last_sequence = 0;
    std::uint64_t m_periods = 0;
    std::uint64_t m_log_epoch = 0;
    std::uint64_t m_syncs_started = 0;
    bool m_has_whole_table = false;
    std::size_t m_startup_syncs = 3; ///< Remaining early ones; the first peer may be new too.
    bool m_gossip_changes = true;    ///< False while a reply with many changes is applied.
    common::steady_time m_last_tick;
    common::steady_time m_next_probe;
    common::steady_time m_next_sync;
    common::steady_time m_next_progress;
    common::steady_time m_next_expiry;
    common::steady_time m_next_push = common::steady_time::max();
    common::steady_time m_next_publication = common::steady_time::max();
    common::steady_time m_last_publication;
    common::steady_time m_include_self_until; ///< After a refutation all datagrams carry the own entry.
};

} // namespace boragehollow::membership
