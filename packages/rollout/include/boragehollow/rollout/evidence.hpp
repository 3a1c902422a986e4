#pragma once

#include "boragehollow/rollout/plan.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace boragehollow::rollout {

/// Buckets of response times: bucket `i` ends at 1.5^(i+1) ms, and the last one is open.
inline constexpr std::size_t latency_buckets = 26;

std::size_t latency_bucket(std::chrono::microseconds latency);

/// Cumulative outcomes of the calls of one route at one target.
struct route_counts {
    std::uint64_t failures = 0;
    std::array<std::uint64_t, latency_buckets> latencies{}; ///< Responses that are not failures.

    std::uint64_t responses() const;
    route_counts& operator+=(const route_counts& other);
    /// Counts since `earlier`; zero where this one is lower.
    route_counts since(const route_counts& earlier) const;

    bool operator==(const route_counts&) const = default;
};

using counts_by_route = std::map<std::string, route_counts>;

counts_by_route& operator+=(counts_by_route& sum, const counts_by_route& other);
counts_by_route since(const counts_by_route& now, const counts_by_route& earlier);

/// State of one target, sent by its daemon to the coordinator. Counts are cumulative since the daemon learnt
/// of the order.
struct report {
    std::string service;
    std::string host;
    std::string version;
    std::uint64_t process = 0; ///< Distinguishes the processes of one daemon.
    plan_position known;       ///< The plan that the daemon enforces.
    std::uint64_t admitted = 0;
    std::uint64_t running = 0;
    bool coordinator_lost = false; ///< The coordinator of the plan did not reply to the last reports.
    counts_by_route routes;
};

/// Compares two versions on one route.
struct comparison {
    std::uint64_t responses = 0; ///< Of the new version.
    std::uint64_t bad = 0;
    /// Logarithm of how much less probable the bad responses are if the version is no worse than tolerated.
    double surprise = 0;
};

/// A response is bad if it is a failure or takes several times as long as the median of the old version.
comparison compare(const route_counts& candidate, const route_counts& old);

/// Result of a test over all routes: the largest surprise.
comparison compare(const counts_by_route& candidate, const counts_by_route& old);

} // namespace boragehollow::rollout
