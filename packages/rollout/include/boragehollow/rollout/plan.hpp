#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// Staged move of a service's calls to targets of another version.
namespace boragehollow::rollout {

using common::steady_time;
using std::chrono::milliseconds;

/// Operator's request to move the calls of a service to targets of `version` within `allowed`.
struct order {
    std::string service;
    std::string version;
    std::uint64_t offset = 0; ///< Identifies the order; a later order has a higher one.
    milliseconds allowed{0};

    bool operator==(const order&) const = default;
};

/// Ordered by precedence: of two plans of one order, that of the later stage wins.
enum class stage : std::uint8_t { observing, ramping, completing, rolling_back, rolled_back, completed };

std::string_view to_string(stage value);
std::optional<stage> parse_stage(std::string_view name);

inline bool is_final(stage value) {
    return value == stage::completed || value == stage::rolled_back;
}

/// Totally ordered position of a plan among all plans of its service.
struct plan_position {
    std::uint64_t order_offset = 0;
    stage current = stage::observing;
    std::uint32_t step = 0;     ///< Step of the ramp.
    std::uint64_t sequence = 0; ///< Increases with each change within a step.

    auto operator<=>(const plan_position&) const = default;
};

/// Distribution of a service's calls over its versions. Every daemon holds the newest plan of each service.
struct plan {
    std::string service;
    std::string version; ///< The new version.
    plan_position position;
    std::string coordinator; ///< Host that made the plan and receives the reports.
    milliseconds allowed{0};
    milliseconds elapsed{0};          ///< Since the order, when the plan was sent.
    std::uint32_t share_permille = 0; ///< Share of the calls for the new version.
    /// Targets of the new version that take calls while `observing`, with the number of calls that each may
    /// have admitted since the order. In later stages every target of the version takes calls.
    std::map<std::string, std::uint64_t> allowances;
    std::set<std::string> withheld; ///< Other versions that take no calls.

    bool operator==(const plan&) const = default;
};

/// What a plan permits targets of a version.
enum class version_use { in_use, canary, unused };

/// `in_use`: any target takes calls; `canary`: only targets with an allowance; `unused`: none does.
version_use use_of(const plan& current, std::string_view version);

/// Content of the record that lets another coordinator continue after the loss of the current one.
struct stage_record {
    std::string service;
    std::string version;
    std::uint64_t order_offset = 0;
    stage current = stage::observing;
    std::uint64_t admitted = 0; ///< Calls at the new version so far.
    common::wall_time ordered;
    milliseconds allowed{0};
};

} // namespace boragehollow::rollout
