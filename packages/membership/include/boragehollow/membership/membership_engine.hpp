#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/revision.hpp"
#include "boragehollow/membership/datagram.hpp"
#include "boragehollow/membership/failure_detector.hpp"
#include "boragehollow/membership/gossip_queue.hpp"
#include "boragehollow/membership/member_table.hpp"
#include "boragehollow/membership/progress_collector.hpp"
#include "boragehollow/membership/synchronization.hpp"
#include "boragehollow/membership/target_directory.hpp"
#include "boragehollow/membership/target_directory_builder.hpp"
#include "boragehollow/membership/version_floors.hpp"

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

/// Reconcile with this member: send `begin_sync()` to it and give the reply to `sync_replied`.
struct start_sync {
    std::string host;
    common::endpoint peer;
};

/// The targets or the live members changed; `directory(now)` and `members()` return something new.
struct directory_changed {};

enum class member_event_kind {
    joined,
    suspected,
    refuted,
    died,
    left,
    returned, ///< A new process of a known host.
    target_changed,
    self_refuted,         ///< This daemon raised its own incarnation because others suspected it.
    announcement_refused, ///< The local announcement is too large for a datagram.
    name_conflict,        ///< Another process uses this daemon's host name.
};

/// For the timeline.
struct member_event {
    member_event_kind kind = member_event_kind::joined;
    member_ref value;
};

using membership_effect = std::variant<send_datagram, start_sync, directory_changed, member_event>;
using membership_effects = std::vector<membership_effect>;

struct sync_request_result {
    sync_reply reply;
    membership_effects effects;
};

struct sync_reply_result {
    std::optional<sync_request> next; ///< To the same peer.
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
    /// A member that only heard of a suspicion waits longer than the one whose probe failed, and then makes
    /// sure itself, so that a refutation or a death that did not reach it does no harm.
    std::chrono::milliseconds remote_suspicion_grace{1000};
    std::size_t indirect_probes = 3;
    std::chrono::milliseconds sync_interval{10000};
    std::size_t sync_other_domain_every = 4; ///< One reconciliation in so many goes to another domain.
    std::chrono::milliseconds progress_interval{5000};
    /// A lost target stays in the directory for so long: the window of idempotency keys.
    std::chrono::milliseconds lost_target_retention{std::chrono::minutes(2)};
    /// Rate and burst of piggybacked entries; a storm of changes beyond them is left to the reconciliation.
    std::size_t gossip_bytes_per_second = 1200;
    std::size_t gossip_burst_bytes = 16 * 1024;
    /// Members that are told at once of a version that this daemon has applied; none where the version is
    /// spread by other means. A log reader tells its own failure domain, any other daemon passes it on.
    std::size_t version_fan_out_of_reader = 0;
    std::size_t version_fan_out = 0;
};

class membership_engine {
public:
    /// `self.incarnation` is `first_incarnation` of the start of this process. `seeds` are UDP endpoints.
    membership_engine(member self, std::vector<common::endpoint> seeds, membership_settings settings,
                      common::random_source random, common::steady_time now);

    membership_effects receive(const datagram& received, const common::endpoint& from,
                               common::steady_time now);
    membership_effects announce_local_target(target_announcement announcement, common::steady_time now);
    membership_effects set_applied_version(common::revision applied, common::steady_time now);

    /// Further gossip endpoints of other daemons, found after the start. A few of them are pinged at once, so
    /// that a daemon which starts beside running ones knows them within a round trip.
    membership_effects add_seeds(const std::vector<common::endpoint>& seeds, common::steady_time now);

    sync_request begin_sync() const;
    sync_request_result handle_sync_request(const sync_request& request, common::steady_time now);
    sync_reply_result handle_sync_reply(const sync_reply& reply, common::steady_time now);

    /// Tells the domain that this daemon leaves. It answers pings afterwards but probes no one.
    membership_effects leave(common::steady_time now);
    membership_effects tick(common::steady_time now);
    common::steady_time next_wakeup() const;

    std::shared_ptr<const target_directory> directory(common::steady_time now);
    const member& self() const { return *m_self; }
    member_ref find(std::string_view host) const;
    std::vector<member_ref> members() const;
    member_counts counts() const;
    /// Hosts of a failure domain that are alive or suspected, this daemon included, sorted.
    std::vector<std::string> live_hosts(std::string_view failure_domain) const;
    std::vector<std::string> failure_domains() const;

    /// Highest version that `host` has been heard to have applied within the retention; 0 when unknown.
    common::revision floor(std::string_view host) const;
    progress_counts progress(common::revision version) const;

private:
    struct relayed_probe {
        common::endpoint requester;
        std::uint64_t requester_sequence = 0;
        std::string host;
        common::steady_time forget_at{};
    };

    struct domain_roles {
        std::vector<std::string> readers;
        std::vector<std::string> collectors;
        std::unordered_map<std::uint64_t, std::string> host_by_hash;
    };

    // membership_engine.cpp: messages and the table.
    void apply(const member_ref& received, common::steady_time now, membership_effects& effects);
    void apply_change(const merge_result& change, common::steady_time now, membership_effects& effects);
    void follow_state(const merge_result& change, common::steady_time now);
    void refute(const member& accusation, common::steady_time now, membership_effects& effects);
    void change_self(common::steady_time now, membership_effects& effects);
    void answer_ping(const datagram& received, const ping& request, const common::endpoint& from,
                     common::steady_time now, membership_effects& effects);
    void probe_for(const indirect_ping& request, const common::endpoint& from, common::steady_time now,
                   membership_effects& effects);
    void take_ack(const datagram& received, const ack& answer, common::steady_time now,
                  membership_effects& effects);
    void take_report(const datagram& received, const progress_report& report, common::steady_time now);
    void apply_all(const std::vector<member_ref>& received, bool gossip, common::steady_time now,
                   membership_effects& effects);
    common::steady_time first_seen_of(const member& value, common::steady_time now) const;

    // membership_engine_timers.cpp: what happens by time.
    void notice_own_pause(common::steady_time now);
    void probe_next(common::steady_time now, membership_effects& effects);
    void probe_one(const member& probed, common::steady_time now, membership_effects& effects);
    void contact_seeds(common::steady_time now, membership_effects& effects);
    std::vector<common::endpoint> unknown_seeds() const;
    void ping_distant(common::steady_time now, membership_effects& effects);
    void retry_dead_member(common::steady_time now, membership_effects& effects);
    void send_indirect_pings(common::steady_time now, membership_effects& effects);
    void suspect_failed(common::steady_time now, membership_effects& effects);
    void ping_suspected(common::steady_time now, membership_effects& effects);
    void declare_dead(common::steady_time now, membership_effects& effects);
    void push_urgent(common::steady_time now, membership_effects& effects);
    void push(const std::vector<member>& mandatory, common::steady_time now, membership_effects& effects);
    void spread_version(common::steady_time now, membership_effects& effects);
    void report_progress(common::steady_time now, membership_effects& effects);
    void forward_collected(common::steady_time now, membership_effects& effects);
    void start_reconciliation(common::steady_time now, membership_effects& effects);
    void expire(common::steady_time now, membership_effects& effects);
    void publish_directory(common::steady_time now, membership_effects& effects);

    /// Builds a datagram with `mandatory` entries first and queued ones in the remaining room.
    void send(const common::endpoint& to, datagram_body body, std::vector<member> mandatory,
              common::steady_time now, membership_effects& effects);
    /// Roles in the own domain; computed again after the live members changed.
    const domain_roles& roles();
    void mark_directory_changed(common::steady_time now);
    std::size_t transmissions() const;
    bool is_own_domain(const member& value) const { return value.failure_domain == m_self->failure_domain; }
    bool has_left() const { return m_self->state == member_state::left; }

    member_ref m_self;
    std::vector<common::endpoint> m_seeds;
    membership_settings m_settings;
    common::random_source m_random;
    common::steady_time m_started;
    common::revision m_applied;

    member_table m_table;
    target_directory_builder m_targets;
    version_floors m_floors;
    progress_collector m_collector;
    std::optional<domain_roles> m_roles;
    gossip_queue m_queue;
    probe_order m_peers;             ///< Live and suspected members of the own domain, without self.
    probe_order m_distant;           ///< The same of all other domains.
    std::vector<std::string> m_dead; ///< Dead members of the own domain.
    probe_tracker m_probes;
    suspicion_timers m_suspicions;
    std::map<std::uint64_t, relayed_probe> m_relayed;

    std::uint64_t m_last_sequence = 0;
    std::uint64_t m_periods = 0;
    std::uint64_t m_reconciliations = 0;
    bool m_has_whole_table = false;
    std::size_t m_early_reconciliations = 3; ///< After the start, when the first peer may know little itself.
    bool m_gossip_changes = true;            ///< Off while a reply that changes very much is taken in.
    common::steady_time m_last_tick;
    common::steady_time m_next_probe;
    common::steady_time m_next_reconciliation;
    common::steady_time m_next_progress;
    common::steady_time m_next_expiry;
    common::steady_time m_next_push = common::steady_time::max();
    common::steady_time m_next_directory = common::steady_time::max();
    common::steady_time m_last_directory;
    common::steady_time m_insist_on_self_until; ///< Own entry goes into every datagram after a refutation.
};

} // namespace boragehollow::membership
