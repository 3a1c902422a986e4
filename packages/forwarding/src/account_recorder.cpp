#include "boragehollow/forwarding/account_recorder.hpp"

#include <algorithm>
#include <vector>

namespace boragehollow::forwarding {

namespace {

constexpr std::size_t max_named_accounts = 10;

/// A registered series stays, so versions that change the ten largest accounts must not add series without
/// end.
constexpr std::size_t max_registered_accounts = 30;

/// Label of the accounts without a series of their own. No account is named so, as its name is not empty.
const std::string rest_label;

} // namespace

account_recorder::account_recorder(telemetry::metric_registry& metrics) : m_metrics(metrics) {}

account_recorder::series account_recorder::add_series(const std::string& account) {
    const auto add = [this, &account](const char* outcome) {
        return &m_metrics.add_counter("boragehollow_account_calls_total",
                                      "Calls of this host's callers by account",
                                      {{"account", account}, {"outcome", outcome}});
    };
    return {add("answered"), add("refused")};
}

void account_recorder::set_index(const accounts::account_index& index) {
    m_usage.retain(index);
    m_largest.clear();
    if (index.empty()) {
        return;
    }
    std::vector<const config::client_account*> by_rate;
    for (const config::client_account& account : index.accounts()) {
        by_rate.push_back(&account);
    }
    std::ranges::stable_sort(by_rate, std::greater<>(), &config::client_account::rate_per_second);
    by_rate.resize(std::min(by_rate.size(), max_named_accounts));
    for (const config::client_account* account : by_rate) {
        if (m_registered.size() < max_registered_accounts) {
            m_registered.insert(account->name);
        }
        if (m_registered.contains(account->name)) {
            m_largest.emplace(account->name, add_series(account->name));
        }
    }
    m_rest = add_series(rest_label);
}

void account_recorder::record(std::string_view account, accounts::call_end end, common::steady_time now) {
    m_usage.record(account, end, now);
    const auto known = m_largest.find(account);
    const series& counted = known == m_largest.end() ? m_rest : known->second;
    telemetry::counter* const total =
        end == accounts::call_end::answered ? counted.answered : counted.refused;
    if (total != nullptr) {
        total->add();
    }
}

} // namespace boragehollow::forwarding
