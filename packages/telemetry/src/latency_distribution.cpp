#include "boragehollow/telemetry/latency_distribution.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <mutex>
#include <sstream> // The header of extended_p_square_quantile uses it without including it.
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace boragehollow::telemetry {

namespace {

namespace acc = boost::accumulators;
using common::steady_time;
using std::chrono::nanoseconds;

constexpr std::array<double, 4> probabilities{0.5, 0.95, 0.99, 0.999};

/// Number of largest values kept exactly: the 99.9th percentile is exact up to 512,000 values in a window,
/// the 99th up to 51,200. Beyond that the P-square estimate is used.
constexpr std::size_t exact_tail_size = 512;

constexpr std::size_t buffer_size = 64;

using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::max, acc::tag::tail_quantile<acc::right>,
                                    acc::tag::extended_p_square>>;

accumulator make_accumulator() {
    return accumulator(acc::tag::tail<acc::right>::cache_size = exact_tail_size,
                       acc::extended_p_square_probabilities = probabilities);
}

nanoseconds to_nanoseconds(double value) {
    return nanoseconds(std::llround(value));
}

nanoseconds quantile_of(const accumulator& values, std::size_t index) {
    if (acc::count(values) == 0) {
        return nanoseconds(0);
    }
    if (acc::count(values) == 1) {
        return to_nanoseconds(acc::max(values));
    }
    const double exact = acc::quantile(values, acc::quantile_probability = probabilities.at(index));
    if (!std::isnan(exact)) {
        return to_nanoseconds(exact);
    }
    return to_nanoseconds(acc::extended_p_square(values)[static_cast<std::ptrdiff_t>(index)]);
}

struct alignas(64) stripe {
    std::mutex mutex;
    std::vector<nanoseconds> buffer;
    std::uint64_t total_count = 0;
    nanoseconds total{0};
};

} // namespace

std::size_t thread_stripe() {
    static std::atomic<std::size_t> next{0};
    thread_local const std::size_t own = next.fetch_add(1, std::memory_order_relaxed) % stripe_count;
    return own;
}

struct latency_distribution::state {
    explicit state(std::chrono::seconds whole_window)
        : window(whole_window), older(make_accumulator()), younger(make_accumulator()) {}

    /// Discards the older accumulator once it covers a whole window, and replaces it by the younger one.
    void rotate(steady_time now) {
        if (!started) {
            started = true;
            next_rotation = now + window / 2;
            return;
        }
        if (now >= next_rotation + window) {
            older = make_accumulator();
            younger = make_accumulator();
            next_rotation = now + window / 2;
            return;
        }
        while (now >= next_rotation) {
            older = std::exchange(younger, make_accumulator());
            next_rotation += window / 2;
        }
    }

    void accumulate(const std::vector<nanoseconds>& values, steady_time now) {
        const std::lock_guard lock(mutex);
        rotate(now);
        for (const nanoseconds value : values) {
            const auto number = static_cast<double>(value.count());
            older(number);
            younger(number);
        }
    }

    std::chrono::nanoseconds window;
    std::array<stripe, stripe_count> stripes;
    std::mutex mutex; ///< Protects the members below.
    bool started = false;
    steady_time next_rotation;
    accumulator older;
    accumulator younger;
};

latency_distribution::latency_distribution(std::chrono::seconds window)
    : m_state(std::make_unique<state>(window)) {}

latency_distribution::~latency_distribution() = default;

void latency_distribution::record(nanoseconds value, steady_time now) {
    stripe& own = m_state->stripes.at(thread_stripe());
    std::vector<nanoseconds> full;
    {
        const std::lock_guard lock(own.mutex);
        ++own.total_count;
        own.total += value;
        own.buffer.push_back(value);
        if (own.buffer.size() < buffer_size) {
            return;
        }
        full.swap(own.buffer);
        own.buffer.reserve(buffer_size);
    }
    m_state->accumulate(full, now);
}

latency_summary latency_distribution::summary(steady_time now) {
    latency_summary result;
    std::vector<nanoseconds> pending;
    for (stripe& each : m_state->stripes) {
        const std::lock_guard lock(each.mutex);
        pending.insert(pending.end(), each.buffer.begin(), each.buffer.end());
        each.buffer.clear();
        result.total_count += each.total_count;
        result.total += each.total;
    }
    m_state->accumulate(pending, now);

    const std::lock_guard lock(m_state->mutex);
    const accumulator& values = m_state->older;
    result.window_count = acc::count(values);
    if (result.window_count == 0) {
        return result;
    }
    result.p50 = quantile_of(values, 0);
    result.p95 = quantile_of(values, 1);
    result.p99 = quantile_of(values, 2);
    result.p999 = quantile_of(values, 3);
    result.max = to_nanoseconds(acc::max(values));
    return result;
}

} // namespace boragehollow::telemetry
