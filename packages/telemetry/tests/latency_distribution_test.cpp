#include "boragehollow/telemetry/latency_distribution.hpp"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace boragehollow::telemetry {
namespace {

using namespace std::chrono_literals;
using common::steady_time;
using std::chrono::microseconds;

const steady_time start = steady_time{} + 1h;

// Guards against wrong quantiles while values are still in the buffers of the stripes.
TEST(latency_distribution, returns_the_quantiles_of_a_known_sequence) {
    latency_distribution distribution;
    for (int value = 1; value <= 1000; ++value) {
        distribution.record(microseconds(value), start);
    }
    const latency_summary summary = distribution.summary(start);
    EXPECT_EQ(summary.window_count, 1000U);
    EXPECT_NEAR(static_cast<double>(summary.p50.count()), 500'000, 2'000);
    EXPECT_NEAR(static_cast<double>(summary.p95.count()), 950'000, 2'000);
    EXPECT_NEAR(static_cast<double>(summary.p99.count()), 990'000, 2'000);
    EXPECT_NEAR(static_cast<double>(summary.p999.count()), 999'000, 2'000);
    EXPECT_EQ(summary.max, 1000us);
}

// Guards against wrong estimates once there are more values than are kept exactly.
TEST(latency_distribution, estimates_the_median_of_many_values) {
    latency_distribution distribution;
    for (int value = 0; value < 100'000; ++value) {
        distribution.record(microseconds((value * 7919) % 10'000), start);
    }
    const latency_summary summary = distribution.summary(start);
    EXPECT_NEAR(static_cast<double>(summary.p50.count()), 5'000'000, 250'000);
    EXPECT_NEAR(static_cast<double>(summary.p99.count()), 9'900'000, 100'000);
}

TEST(latency_distribution, summarizes_no_value_and_one_value) {
    latency_distribution distribution;
    EXPECT_EQ(distribution.summary(start).window_count, 0U);
    distribution.record(5ms, start);
    EXPECT_EQ(distribution.summary(start).p50, 5ms);
    EXPECT_EQ(distribution.summary(start).p999, 5ms);
}

// Guards against old values that never leave the summary, and against recent values discarded with them.
TEST(latency_distribution, discards_values_after_one_window) {
    latency_distribution distribution(60s);
    distribution.record(9s, start);
    EXPECT_EQ(distribution.summary(start).max, 9s);
    distribution.record(1ms, start + 45s);
    EXPECT_EQ(distribution.summary(start + 45s).window_count, 2U);
    distribution.record(2ms, start + 70s);
    const latency_summary later = distribution.summary(start + 70s);
    EXPECT_EQ(later.max, 2ms);
    EXPECT_EQ(later.window_count, 2U);
    EXPECT_EQ(later.total_count, 3U);
    EXPECT_EQ(distribution.summary(start + 10min).window_count, 0U);
}

// Guards against values lost between threads. Under the thread sanitizer it also detects data races.
TEST(latency_distribution, keeps_all_values_of_many_threads) {
    latency_distribution distribution;
    {
        std::vector<std::jthread> threads;
        threads.reserve(32);
        for (int index = 0; index < 8; ++index) {
            threads.emplace_back([&] {
                for (int value = 0; value < 5'000; ++value) {
                    distribution.record(microseconds(value), start);
                }
            });
        }
    }
    EXPECT_EQ(distribution.summary(start).window_count, 40'000U);
}

} // namespace
} // namespace boragehollow::telemetry
