#include "boragehollow/accounts/account_usage.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragehollow::accounts {

namespace {

/// A call counts e times less after this time.
constexpr std::chrono::duration<double> rate_window{5};

double decay(common::steady_time from, common::steady_time to) {
    return std::exp(-std::max(0.0, std::chrono::duration<double>(to - from) / rate_window));
}

} // namespace

std::string_view to_string(call_end end) {
    switch (end) {
    case call_end::answered:
        return "answered";
    case call_end::not_run:
        return "not_run";
    case call_end::unknown:
        return "unknown";
    case call_end::key_revoked:
        return "key_revoked";
    case call_end::over_limit:
        return "over_limit";
    }
    return "unknown";
}

void account_usage::record(std::string_view account, call_end end, common::steady_time now) {
    auto known = m_usage.find(account);
    if (known == m_usage.end()) {
        known = m_usage.emplace(account, usage{}).first;
        known->second.updated = now;
    }
    usage& counted = known->second;
    counted.recent_calls = counted.recent_calls * decay(counted.updated, now) + 1;
    counted.updated = now;
    ++counted.calls.at(static_cast<std::size_t>(end));
}

void account_usage::retain(const account_index& index) {
    std::erase_if(m_usage,
                  [&index](const auto& entry) { return index.find_account(entry.first) == nullptr; });
}

accounts_summary account_usage::summarize(const account_index& index, common::steady_time now) const {
    accounts_summary result{index.version(), {}};
    for (const config::client_account& account : index.accounts()) {
        account_summary summary;
        summary.name = account.name;
        summary.priority = account.priority;
        summary.rate_limit = account.rate_per_second;
        summary.burst = account.burst;
        for (const std::string& key : account.keys) {
            summary.keys.push_back(fingerprint_of(key));
        }
        if (const auto known = m_usage.find(account.name); known != m_usage.end()) {
            const usage& counted = known->second;
            summary.rate_in_use = counted.recent_calls * decay(counted.updated, now) / rate_window.count();
            summary.calls = counted.calls;
        }
        result.accounts.push_back(std::move(summary));
    }
    std::ranges::sort(result.accounts, {}, &account_summary::name);
    return result;
}

} // namespace boragehollow::accounts
