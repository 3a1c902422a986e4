#pragma once

#include "boragehollow/quota/messages.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragehollow::quota {

/// Sends `request` to the daemon on `host`, which may be the own one. The outcome is given back by `receive`.
struct send_request {
    std::string host;
    token_request request;
};

/// A waiting call may run.
struct call_granted {
    std::uint64_t call = 0;
};

enum class quota_refusal {
    over_limit, ///< The owner has no token.
    no_owner,   ///< No owner has replied.
};

struct call_refused {
    std::uint64_t call = 0;
    quota_refusal reason = quota_refusal::over_limit;
    std::chrono::milliseconds retry_after{};
};

/// This daemon asks another owner for the accounts of a group.
struct owner_changed {
    std::uint32_t group = 0;
    std::string owner;
};

using holder_effect = std::variant<send_request, call_granted, call_refused, owner_changed>;
using holder_effects = std::vector<holder_effect>;

enum class take_result {
    taken, ///< The call may run.
    waits, ///< An effect ends the wait.
};

/// Holds the tokens of one daemon, asks the owners for more, and lends them this daemon's share of the rates.
class token_holder {
public:
    token_holder(const quota_settings& settings, std::string own_host, common::steady_time now);

    /// Drops the tokens of accounts whose limit differs. Tokens that an owner grants by an older version are
    /// ignored for these accounts.
    void update_limits(account_limits limits, std::uint64_t config_version);
    void update_members(mesh_members members, common::steady_time now, holder_effects& effects);

    bool has_limit(std::string_view account) const { return m_limits.contains(account); }

    /// `call` must differ from that of any other waiting call. The account must have a limit.
    take_result take(std::string_view account, std::uint64_t call, common::steady_time now,
                     holder_effects& effects);
    /// The call no longer waits.
    void cancel(std::string_view account, std::uint64_t call);

    /// Takes in the reply to a request, or that there is none.
    void receive(const std::string& host, std::uint32_t group, std::uint64_t sequence,
                 const std::optional<token_reply>& reply, common::steady_time now, holder_effects& effects);

    void tick(common::steady_time now, holder_effects& effects);
    /// Empty while this daemon has nothing to do.
    std::optional<common::steady_time> next_wakeup() const;

private:
    struct waiting_call {
        std::uint64_t call = 0;
        common::steady_time since;
    };
    struct tokens {
        std::uint32_t count = 0;
        common::steady_time end;
    };
    struct account_state {
        std::deque<waiting_call> waiting;
        std::deque<tokens> held; ///< In the order of their end.
        double recent_calls = 0; ///< Decays within `demand_decay`.
        common::steady_time counted;
        common::steady_time next_ask;         ///< For waiting calls.
        common::steady_time shortage;         ///< When the owner last had no token.
        std::chrono::milliseconds estimate{}; ///< Its estimate then.
    };
    enum class request_kind { ask, probe, release };
    struct pending_request {
        request_kind kind = request_kind::ask;
        std::string host;
        std::uint64_t sequence = 0;
        common::steady_time sent;
        std::map<std::string, std::vector<std::uint64_t>> calls; ///< Waiting calls by account.
        std::optional<common::steady_time> lease_end;            ///< Set when the request carries a lease.
    };
    /// The own share of a group, while an owner may use it.
    struct lent_share {
        std::string host;
        std::uint64_t process = 0;
        common::steady_time end;
        common::steady_time renewed;
        bool idle = false; ///< Lent for `idle_lease_duration`.
        bool release_tried = false;
        std::optional<common::steady_time> owner_lost; ///< The owner is not alive since then.
    };
    /// What the newest reply of the owner said.
    struct owner_clock {
        std::uint64_t process = 0;
        std::chrono::microseconds time{};
        common::steady_time received;
        /// A lease was sent with this time. Leases with different times cannot be confused when they overtake
        /// each other.
        bool used = false;
    };
    struct group_state {
        std::string owner;
        std::optional<owner_clock> clock;
        std::optional<lent_share> lent;
        std::optional<pending_request> pending;
        std::vector<std::string> order; ///< Possible owners.
        std::map<std::string, account_state, std::less<>> accounts;
        std::size_t waiting_calls = 0;
        common::steady_time last_call; ///< Or the start of this process.
        common::steady_time last_request;
        bool runs_short = false; ///< An account has few tokens left.
        common::steady_time next_probe;
    };
    struct avoided_owner {
        std::uint32_t failures = 0; ///< In a row.
        common::steady_time until;
    };

    bool take_held(account_state& account, common::steady_time now) const;
    void count_call(account_state& account, common::steady_time now) const;
    double demand_per_second(const account_state& account, common::steady_time now) const;
    std::uint32_t expected_calls(const account_state& account, common::steady_time now) const;
    bool runs_short(const account_state& account, common::steady_time now) const;
    /// Time from which waiting calls may be asked for; empty when no call waits.
    std::optional<common::steady_time> next_ask(const group_state& group) const;
    void refuse_late_calls(group_state& group, common::steady_time now, holder_effects& effects) const;
    void refuse_calls(group_state& group, const std::string& account, const std::vector<std::uint64_t>& calls,
                      const account_grant& grant, holder_effects& effects) const;
    void distribute(group_state& group, const pending_request& request, const token_reply& reply,
                    common::steady_time now, holder_effects& effects) const;

    void advance(std::uint32_t index, common::steady_time now, holder_effects& effects);
    /// Returns true when a request to change the owner is on its way.
    bool change_owner(std::uint32_t index, common::steady_time now, holder_effects& effects);
    std::string preferred_owner(const group_state& group, common::steady_time now) const;
    bool avoided(const std::string& host, common::steady_time now) const;
    bool alive(const std::string& host) const;
    void set_owner(std::uint32_t index, const std::string& owner, holder_effects& effects);
    void reply_lost(group_state& group, common::steady_time now);

    bool is_idle(const group_state& group, common::steady_time now) const;
    bool share_is_free(const group_state& group) const;
    void end_lent_share(group_state& group, common::steady_time now) const;
    /// Time at which this daemon has to lend its share or renew the lease.
    common::steady_time lease_due(const group_state& group, common::steady_time now) const;
    void add_lease(group_state& group, token_request& request, pending_request& pending,
                   common::steady_time now) const;
    void add_demand(group_state& group, token_request& request, pending_request& pending,
                    common::steady_time now) const;
    void send(std::uint32_t index, request_kind kind, const std::string& host, common::steady_time now,
              holder_effects& effects);

    quota_settings m_settings;
    std::string m_own_host;
    common::steady_time m_lending_start; ///< Leases of an earlier process on this host have ended by then.
    account_limits m_limits;
    std::map<std::string, std::uint64_t, std::less<>> m_limit_versions; ///< Of the newest change, by account.
    mesh_members m_members;
    std::map<std::string, avoided_owner> m_avoided; ///< By host.
    std::array<group_state, group_count> m_groups;
    std::uint64_t m_sequence = 0;
};

} // namespace boragehollow::quota
