#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::quota {

/// Accounts are divided into this many groups by the hash of their name. Each group has an owner of its own.
inline constexpr std::uint32_t group_count = 4;

struct account_limit {
    double rate_per_second = 0; ///< Always positive.
    double burst = 0;

    bool operator==(const account_limit&) const = default;
};

/// Limits by the name of the account; accounts without a limit are absent.
using account_limits = std::map<std::string, account_limit, std::less<>>;

struct live_daemon {
    std::string host;
    /// Identifies the process; it differs after a restart.
    std::uint64_t process = 0;
    bool fast_link = true;

    bool operator==(const live_daemon&) const = default;
};

/// The daemons of the mesh in the view of one of them.
struct mesh_members {
    std::vector<live_daemon> live;
    std::uint32_t known = 0; ///< Includes the dead ones; 0 while the view is incomplete.

    bool operator==(const mesh_members&) const = default;
};

/// Lends the sender's share of the rates of one group to the owner.
struct share_lease {
    /// Time by the owner's clock from which the lease counts, taken from an earlier reply. A lease therefore
    /// ends at the owner before it ends at the lender, however long the messages take.
    std::chrono::microseconds granted_at{};
    std::chrono::milliseconds duration{};
    std::uint32_t known_daemons = 0; ///< The share is 1 / this number.

    bool operator==(const share_lease&) const = default;
};

struct account_demand {
    std::string account;
    std::uint32_t waiting = 0;  ///< Calls that wait for a token.
    std::uint32_t expected = 0; ///< Tokens for the calls until the next request.

    bool operator==(const account_demand&) const = default;
};

struct token_request {
    std::string host; ///< Of the sender.
    std::uint32_t group = 0;
    std::uint64_t sequence = 0;
    std::uint64_t owner_process = 0; ///< The owner's process that `lease` or `release` is meant for.
    std::optional<share_lease> lease;
    bool release = false; ///< Ends the lease of the sender.
    std::vector<account_demand> accounts;

    bool operator==(const token_request&) const = default;
};

struct account_grant {
    std::string account;
    std::uint32_t tokens = 0;
    /// Estimated time until a token is free; 0 when all waiting calls got one.
    std::chrono::milliseconds retry_after{};

    bool operator==(const account_grant&) const = default;
};

struct token_reply {
    std::uint64_t sequence = 0; ///< Of the request.
    std::uint64_t owner_process = 0;
    std::chrono::microseconds owner_time{}; ///< By the owner's clock, which starts with its process.
    std::uint64_t config_version = 0;
    /// No share of the rates is lent to the sender, so that it cannot tell whether an account is over its
    /// limit.
    bool without_share = false;
    std::vector<account_grant> accounts;

    bool operator==(const token_reply&) const = default;
};

/// Durations that owner and holders agree on, and the parts of the limits that are granted.
struct quota_settings {
    /// Unused tokens expire this long after their request was sent.
    std::chrono::milliseconds token_lifetime{500};
    std::chrono::milliseconds reply_timeout{60};
    std::chrono::milliseconds max_call_wait{60};
    /// Interval between requests while no call waits.
    std::chrono::milliseconds request_interval{250};
    /// Interval between requests while the owner has too few tokens.
    std::chrono::milliseconds shortage_interval{50};
    std::chrono::milliseconds lease_duration{1'000};
    std::chrono::milliseconds lease_renewal{400};
    /// Lease of a daemon without calls. It is renewed at half of its duration.
    std::chrono::milliseconds idle_lease_duration{600'000};
    /// A daemon without calls for this long lends its shares for `idle_lease_duration`.
    std::chrono::milliseconds idle_after{10'000};
    /// A silent owner is not asked for this long.
    std::chrono::milliseconds avoidance{3'000};
    /// An idle lease ends when the owner was not alive for this long.
    std::chrono::milliseconds lost_owner_delay{10'000};

    // Tokens live for a tenth of the window of 5 s, so that 0.95 of the rate in 5.5 s is less than the rate
    // in the window and its tolerance of a tenth. The additions are parts of the tolerance of 20 calls; they
    // serve accounts whose limit is small.
    double rate_part = 0.95;
    double rate_addition = 1.5;
    double burst_part = 0.9;
    double burst_addition = 2;
};

/// Group of an account.
std::uint32_t group_of(std::string_view account);

/// Owners of a group in order of preference: live daemons with fast links by rendezvous hash.
std::vector<std::string> owner_order(std::uint32_t group, const mesh_members& members);

} // namespace boragehollow::quota
