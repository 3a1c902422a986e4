#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/revision.hpp"
#include "boragehollow/membership/datagram.hpp"
#include "boragehollow/membership/member_table.hpp"
#include "boragehollow/membership/synchronization.hpp"
#include "boragehollow/membership/target_directory.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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

/// `directory(now)` would return something new.
struct directory_changed {};

enum class member_event_kind {
    joined,
    suspected,
    refuted,
    died,
    left,
    returned, ///< A new process of a known host.
    target_changed,
    self_refuted,  ///< This daemon raised its own incarnation because others suspected it.
    name_conflict, ///< Another process uses this daemon's host name.
};

/// For the timeline.
struct member_event {
    member_event_kind kind = member_event_kind::joined;
    member_ref value;
};

using membership_effect = std::variant<send_datagram, start_sync, directory_changed, member_event>;
using membership_effects = std::vector<membership_effect>;

struct sync_answer {
    sync_reply reply;
    membership_effects effects;
};

struct sync_step {
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

struct engine_settings {
    std::chrono::milliseconds period{500};
    std::chrono::milliseconds ack_timeout{200};
    std::chrono::milliseconds suspicion{2000};
    std::size_t indirect_probes = 3;
    std::chrono::milliseconds sync_interval{10000};
    std::size_t sync_other_domain_every = 4; ///< One reconciliation in so many goes to another domain.
    std::chrono::milliseconds progress_interval{5000};
    /// A lost target stays in the directory for so long: the window of idempotency keys.
    std::chrono::milliseconds lost_target_retention{std::chrono::minutes(2)};
    /// Rate and burst of piggybacked entries; a storm of changes beyond them is left to the reconciliation.
    std::size_t gossip_bytes_per_second = 1200;
    std::size_t gossip_burst_bytes = 64 * 1024;
};

class membership_engine {
public:
    /// `self.incarnation` is `first_incarnation` of the start of this process. `seeds` are UDP endpoints.
    membership_engine(member self, std::vector<common::endpoint> seeds, engine_settings settings,
                      common::random_source random, common::steady_time now);
    ~membership_engine();
    membership_engine(membership_engine&&) noexcept;
    membership_engine& operator=(membership_engine&&) noexcept;

    membership_effects receive(const datagram& received, const common::endpoint& from,
                               common::steady_time now);
    membership_effects announce_local_target(target_announcement announcement, common::steady_time now);
    membership_effects note_local_version(common::revision applied, common::steady_time now);

    sync_request begin_sync() const;
    sync_answer answer_sync(const sync_request& request, common::steady_time now);
    sync_step sync_replied(const sync_reply& reply, common::steady_time now);

    /// Tells the domain that this daemon leaves. It answers pings afterwards but probes no one.
    membership_effects leave(common::steady_time now);
    membership_effects tick(common::steady_time now);
    common::steady_time next_wakeup() const;

    std::shared_ptr<const target_directory> directory(common::steady_time now);
    const member& self() const;
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
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace boragehollow::membership
