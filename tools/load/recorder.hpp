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

/// Collects the answers: one JSON line each, counts, and percentiles for each kind of request.
class recorder {
public:
    explicit recorder(const std::string& answers_file);

    /// False when the file cannot be written.
    bool ready() const;

    void add(const planned_request& request);
    void add(const answer& value);

    /// Counts the requests that have no answer yet as broken, and returns their number.
    std::size_t give_up_open();

    std::uint64_t count(outcome result) const;
    nlohmann::json summary(std::chrono::duration<double> elapsed);

private:
    struct kind_record {
        std::array<std::uint64_t, outcome_count> outcomes{};
        std::vector<std::int64_t> answered_us;
        std::vector<std::int64_t> other_us;
    };

    bool m_wants_file;
    std::unordered_map<std::string, planned_request> m_open;
    std::ofstream m_file;
    std::array<kind_record, kind_count> m_kinds;
    std::map<std::string, std::uint64_t> m_reasons;
    std::map<std::string, std::uint64_t> m_targets;
    std::map<std::string, std::array<std::uint64_t, 2>>
        m_callers; ///< Requests, and those that were answered.
};

} // namespace boragehollow::load
