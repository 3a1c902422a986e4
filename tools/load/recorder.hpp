#pragma once

#include "messages.hpp"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragehollow::load {

/// Writes a JSON line for each result, and keeps counts and latency percentiles for each request kind.
class recorder {
public:
    explicit recorder(const std::string& results_file);

    /// Returns false if the results file cannot be written.
    bool ready() const;

    void add(const planned_request& request);
    void add(const request_result& value);

    /// Records all requests without a result as broken, and returns their number.
    std::size_t mark_pending_broken();

    std::uint64_t count(request_outcome outcome) const;
    nlohmann::json summary(std::chrono::duration<double> elapsed);

private:
    struct kind_statistics {
        std::array<std::uint64_t, outcome_count> outcomes{};
        std::vector<std::int64_t> answered_us;
        std::vector<std::int64_t> other_us;
    };

    bool m_writes_file;
    std::unordered_map<std::string, planned_request> m_pending;
    std::ofstream m_file;
    std::array<kind_statistics, kind_count> m_kinds;
    std::map<std::string, std::uint64_t> m_reasons;
    std::map<std::string, std::uint64_t> m_targets;
    /// For each caller the number of requests, and of those that were answered.
    std::map<std::string, std::array<std::uint64_t, 2>> m_callers;
};

} // namespace boragehollow::load
