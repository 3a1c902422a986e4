#pragma once

#include "boragehollow/accounts/account_index.hpp"
#include "boragehollow/common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::accounts {

/// How a call of an account ended at the daemon of its caller.
enum class call_end {
    answered,
    not_run,     ///< No target could take it in time.
    unknown,     ///< Its outcome is unknown.
    key_revoked, ///< Its key was revoked while it waited.
    over_limit,  ///< The account was beyond its rate.
};

constexpr std::size_t call_ends = 5;

std::string_view to_string(call_end end);

/// What operators see of one account. States no key.
struct account_summary {
    std::string name;
    std::optional<std::uint32_t> priority;
    double rate_limit = 0; ///< Calls a second of all daemons together; 0: no limit.
    double burst = 0;
    std::vector<key_fingerprint> keys;
    double rate_in_use = 0; ///< Calls a second of this daemon's callers, over the last seconds.
    std::array<std::uint64_t, call_ends> calls{}; ///< By `call_end`, since the start of the daemon.
};

/// Accounts of one configuration version.
struct accounts_summary {
    common::revision version;
    std::vector<account_summary> accounts; ///< By name.
};

/// Counts the calls of a daemon's callers by account.
class account_usage {
public:
    void record(std::string_view account, call_end end, common::steady_time now);

    /// Forgets the accounts that the configuration no longer has.
    void retain(const account_index& index);

    accounts_summary summarize(const account_index& index, common::steady_time now) const;

private:
    struct usage {
        std::array<std::uint64_t, call_ends> calls{};
        double recent_calls = 0; ///< Each call counts less the longer ago it was.
        common::steady_time updated;
    };

    std::map<std::string, usage, std::less<>> m_usage;
};

} // namespace boragehollow::accounts
