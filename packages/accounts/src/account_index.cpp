#include "boragehollow/accounts/account_index.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace boragehollow::accounts {

namespace {

/// Separates the fingerprints from other hashes of the same text.
constexpr std::uint64_t fingerprint_seed = 0x6b65'7973;

/// Weight of accounts with low rates. The mean of all weights is then at most 1.5, so that each of these
/// accounts has a right to a third of the mean share. That leaves room above a quarter for turns at which
/// none of its calls can meet its target latency.
constexpr double min_weight = 0.5;

constexpr int shown_digits = 8;

/// Compares all bytes, so that the time does not tell how many of the first ones are equal.
bool equal_keys(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace

key_fingerprint fingerprint_of(std::string_view key) {
    return {common::stable_hash(key, fingerprint_seed)};
}

std::string to_string(key_fingerprint fingerprint) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint.value));
    return {text.data(), shown_digits};
}

account_index::account_index(std::shared_ptr<const account_list> accounts, common::revision version)
    : m_accounts(std::move(accounts)), m_version(version) {
    double total_rate = 0;
    std::size_t limited = 0;
    for (std::uint32_t position = 0; position < m_accounts->size(); ++position) {
        const config::client_account& account = (*m_accounts)[position];
        m_by_name.push_back(position);
        for (std::uint32_t key = 0; key < account.keys.size(); ++key) {
            m_keys.push_back({fingerprint_of(account.keys[key]), position, key});
        }
        total_rate += account.rate_per_second;
        limited += account.rate_per_second > 0 ? 1 : 0;
    }
    m_mean_rate = limited == 0 ? 0 : total_rate / static_cast<double>(limited);
    std::ranges::sort(m_keys, {}, &key_entry::fingerprint);
    std::ranges::sort(m_by_name, {}, [this](std::uint32_t position) -> const std::string& {
        return (*m_accounts)[position].name;
    });
}

std::optional<key_owner> account_index::find_key(std::string_view key) const {
    const key_fingerprint fingerprint = fingerprint_of(key);
    for (const key_entry& entry :
         std::ranges::equal_range(m_keys, fingerprint, {}, &key_entry::fingerprint)) {
        const config::client_account& account = (*m_accounts)[entry.account];
        if (equal_keys(account.keys[entry.key], key)) {
            return key_owner{&account, fingerprint};
        }
    }
    return std::nullopt;
}

const config::client_account* account_index::find_account(std::string_view name) const {
    const auto name_of = [this](std::uint32_t position) -> std::string_view {
        return (*m_accounts)[position].name;
    };
    const auto found = std::ranges::lower_bound(m_by_name, name, {}, name_of);
    return found == m_by_name.end() || name_of(*found) != name ? nullptr : &(*m_accounts)[*found];
}

bool account_index::holds_key(std::string_view account, key_fingerprint fingerprint) const {
    const auto keys = std::ranges::equal_range(m_keys, fingerprint, {}, &key_entry::fingerprint);
    return std::ranges::any_of(
        keys, [&](const key_entry& entry) { return (*m_accounts)[entry.account].name == account; });
}

double account_index::weight_of(const config::client_account* account) const {
    if (account == nullptr || account->rate_per_second <= 0 || m_mean_rate <= 0) {
        return 1;
    }
    return std::max(min_weight, account->rate_per_second / m_mean_rate);
}

} // namespace boragehollow::accounts
