#pragma once

#include "boragehollow/accounts/account_usage.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace boragehollow::forwarding {

/// Counts the calls of accounts for operators: all accounts in the summary, and in the metrics the ten with
/// the highest rates and the rest as one series.
class account_recorder {
public:
    explicit account_recorder(telemetry::metric_registry& metrics);

    void set_index(const accounts::account_index& index);
    void record(std::string_view account, accounts::call_end end, common::steady_time now);

    accounts::accounts_summary summarize(const accounts::account_index& index,
                                         common::steady_time now) const {
        return m_usage.summarize(index, now);
    }

private:
    struct series {
        telemetry::counter* answered = nullptr;
        telemetry::counter* refused = nullptr;
    };

    series add_series(const std::string& account);

    telemetry::metric_registry& m_metrics;
    accounts::account_usage m_usage;
    std::set<std::string, std::less<>> m_registered; ///< Names that ever had a series.
    std::map<std::string, series, std::less<>> m_largest;
    series m_rest;
};

} // namespace boragehollow::forwarding
