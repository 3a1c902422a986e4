#include "boragehollow/rollout/evidence.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace boragehollow::rollout {

namespace {

constexpr double bucket_factor = 1.5;

/// Distance from the old version's median from which a response counts as slow: at least 1.5^3 = 3.4 times.
constexpr std::size_t slow_distance = 4;

/// Rate of bad responses that is tolerated beyond twice that of the old version.
constexpr double tolerated_excess = 0.08;
constexpr double max_tolerated = 0.9;

/// Pseudo-counts of the old version, so that few responses do not give a rate of 0.
constexpr double prior_bad = 0.5;
constexpr double prior_responses = 10;

/// Fewer old responses give no time to compare with; only failures count then.
constexpr std::uint64_t min_old_responses = 20;

std::size_t median_bucket(const route_counts& counts) {
    const std::uint64_t all = std::reduce(counts.latencies.begin(), counts.latencies.end());
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        below += counts.latencies[i];
        if (2 * below >= all) {
            return i;
        }
    }
    return latency_buckets - 1;
}

std::uint64_t bad_responses(const route_counts& counts, std::size_t slow_from) {
    const auto begin =
        counts.latencies.begin() + static_cast<std::ptrdiff_t>(std::min(slow_from, latency_buckets));
    return std::reduce(begin, counts.latencies.end(), counts.failures);
}

/// Chernoff bound on the tail of a binomial distribution, as a negative logarithm.
double tail_surprise(std::uint64_t responses, std::uint64_t bad, double rate) {
    const double observed = static_cast<double>(bad) / static_cast<double>(responses);
    if (observed <= rate) {
        return 0;
    }
    const double rest = observed < 1 ? (1 - observed) * std::log((1 - observed) / (1 - rate)) : 0;
    return static_cast<double>(responses) * (observed * std::log(observed / rate) + rest);
}

} // namespace

std::size_t latency_bucket(std::chrono::microseconds latency) {
    const double in_ms = static_cast<double>(latency.count()) / 1'000;
    if (in_ms <= 1) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::log(in_ms) / std::log(bucket_factor));
    return std::min(index, latency_buckets - 1);
}

std::uint64_t route_counts::responses() const {
    return std::reduce(latencies.begin(), latencies.end(), failures);
}

route_counts& route_counts::operator+=(const route_counts& other) {
    failures += other.failures;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        latencies[i] += other.latencies[i];
    }
    return *this;
}

route_counts route_counts::since(const route_counts& earlier) const {
    route_counts result = *this;
    result.failures -= std::min(result.failures, earlier.failures);
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        result.latencies[i] -= std::min(result.latencies[i], earlier.latencies[i]);
    }
    return result;
}

counts_by_route& operator+=(counts_by_route& sum, const counts_by_route& other) {
    for (const auto& [route, counts] : other) {
        sum[route] += counts;
    }
    return sum;
}

counts_by_route since(const counts_by_route& now, const counts_by_route& earlier) {
    counts_by_route result;
    for (const auto& [route, counts] : now) {
        const auto before = earlier.find(route);
        result.emplace(route, before == earlier.end() ? counts : counts.since(before->second));
    }
    return result;
}

comparison compare(const route_counts& candidate, const route_counts& old) {
    comparison result;
    result.responses = candidate.responses();
    if (result.responses == 0) {
        return result;
    }
    const std::uint64_t old_responses = old.responses();
    const std::size_t slow_from =
        old_responses >= min_old_responses ? median_bucket(old) + slow_distance : latency_buckets;
    const double old_rate = (static_cast<double>(bad_responses(old, slow_from)) + prior_bad) /
                            (static_cast<double>(old_responses) + prior_responses);
    result.bad = bad_responses(candidate, slow_from);
    result.surprise =
        tail_surprise(result.responses, result.bad, std::min(max_tolerated, 2 * old_rate + tolerated_excess));
    return result;
}

comparison compare(const counts_by_route& candidate, const counts_by_route& old) {
    static const route_counts none;
    comparison total;
    for (const auto& [route, counts] : candidate) {
        const auto known = old.find(route);
        const comparison one = compare(counts, known == old.end() ? none : known->second);
        total.responses += one.responses;
        total.bad += one.bad;
        total.surprise = std::max(total.surprise, one.surprise);
    }
    return total;
}

} // namespace boragehollow::rollout
