#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/config/client_account.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Client accounts of the active configuration and the keys that belong to them.
namespace boragehollow::accounts {

/// Stands for a key wherever the key itself must not appear. Equal on all daemons.
struct key_fingerprint {
    std::uint64_t value = 0;

    auto operator<=>(const key_fingerprint&) const = default;
};

key_fingerprint fingerprint_of(std::string_view key);

/// The first eight hexadecimal digits, for operators.
std::string to_string(key_fingerprint fingerprint);

/// Account to which a key belongs.
struct key_owner {
    const config::client_account* account = nullptr; ///< Lives as long as the index.
    key_fingerprint fingerprint;
};

/// Immutable index of the accounts of one configuration version.
class account_index {
public:
    using account_list = std::vector<config::client_account>;

    account_index(std::shared_ptr<const account_list> accounts, common::revision version);

    /// Without accounts, calls need no key.
    bool empty() const { return m_accounts->empty(); }
    common::revision version() const { return m_version; }
    const account_list& accounts() const { return *m_accounts; }

    /// The owner of the key. The time that the comparison takes does not depend on the bytes of the keys.
    std::optional<key_owner> find_key(std::string_view key) const;

    const config::client_account* find_account(std::string_view name) const;

    /// True when the account has a key with this fingerprint.
    bool holds_key(std::string_view account, key_fingerprint fingerprint) const;

    /// Share of an account under overload, relative to the mean of all accounts: its rate, but at least
    /// half of the mean. 1 for an account without a limit and for an unknown one.
    double weight_of(const config::client_account* account) const;

private:
    struct key_entry {
        key_fingerprint fingerprint;
        std::uint32_t account = 0; ///< Positions in the account list.
        std::uint32_t key = 0;
    };

    std::shared_ptr<const account_list> m_accounts;
    common::revision m_version;
    std::vector<key_entry> m_keys;        ///< By fingerprint.
    std::vector<std::uint32_t> m_by_name; ///< Positions in the account list.
    double m_mean_rate = 0;               ///< Of the accounts with a limit.
};

} // namespace boragehollow::accounts
