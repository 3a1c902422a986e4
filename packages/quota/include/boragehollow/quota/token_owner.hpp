#pragma once

#include "boragehollow/quota/messages.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragehollow::quota {

/// Use of an account, as its owner knows it.
struct account_grants {
    std::string account;
    account_limit limit;
    double tokens_per_second = 0;  ///< Granted over the last seconds.
    double refused_per_second = 0; ///< Waiting calls without a token, over the last seconds.
};

/// Grants tokens for the accounts whose share of the rates other daemons have lent to this one. Every daemon
/// has one. Nothing else makes it an owner: without leases it grants nothing, so two daemons that both act as
/// owner never grant more than the whole rate together.
class token_owner {
public:
    /// `process` must differ from that of any other process on this host.
    token_owner(const quota_settings& settings, std::uint64_t process, common::steady_time now);

    void update_limits(account_limits limits, std::uint64_t config_version, common::steady_time now);
    /// Ends the long leases of daemons that are not alive or have restarted; short ones end by themselves.
    void update_members(const mesh_members& members, common::steady_time now);

    /// Debits the granted tokens, so that a lost reply loses them.
    token_reply handle(const token_request& request, common::steady_time now);

    /// The accounts that asked this owner within the last seconds.
    std::vector<account_grants> summarize(common::steady_time now) const;

    /// Part of the rates of a group that is lent to this daemon, from 0 to 1.
    double weight(std::uint32_t index, common::steady_time now);
    std::uint64_t process() const { return m_process; }
    std::size_t bucket_count() const { return m_buckets.size(); }

private:
    struct lease {
        common::steady_time granted;
        common::steady_time end;
        std::uint32_t known_daemons = 0;
        std::uint64_t lender_process = 0; ///< 0 until the view of the members names it.
    };
    struct bucket {
        double level = 0;
        double unmet = 0;   ///< Refused tokens, decaying within about a second.
        double granted = 0; ///< Granted tokens, decaying in the same way.
        common::steady_time updated;
    };
    struct group {
        std::map<std::string, lease, std::less<>> leases; ///< By lender.
        /// When a lease was released or ended, by lender. Leases from before may still arrive late.
        std::map<std::string, common::steady_time, std::less<>> ended;
        double weight = 0;
        common::steady_time earliest_end; ///< Before it, no lease ends.
    };

    void change_lease(const token_request& request, common::steady_time now);
    void end_expired_leases(std::uint32_t index, common::steady_time now);
    void compute_weight(group& current);
    void refill_group(std::uint32_t index, common::steady_time now);
    void refill(bucket& current, const account_limit& limit, double weight, common::steady_time now) const;
    account_grant grant(const account_demand& demand, double weight, common::steady_time now);

    quota_settings m_settings;
    std::uint64_t m_process;
    common::steady_time m_started;
    account_limits m_limits;
    std::uint64_t m_config_version = 0;
    std::uint32_t m_known_daemons = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_processes; ///< Live daemons by host.
    std::array<group, group_count> m_groups;
    std::map<std::string, bucket, std::less<>> m_buckets; ///< By account.
};

} // namespace boragehollow::quota
