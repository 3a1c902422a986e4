#include "boragehollow/balancing/latency_estimate.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

TEST(peak_ewma_estimate, rises_immediately_and_decays_slowly) {
    peak_ewma_estimate estimate;
    const milliseconds decay(5'000);
    steady_time now;
    estimate.add(milliseconds(5), decay, now);
    estimate.add(milliseconds(50), decay, now);
    EXPECT_DOUBLE_EQ(estimate.value(milliseconds(5), decay, now).count(), 50'000);
    now += milliseconds(1'000);
    estimate.add(milliseconds(5), decay, now);
    EXPECT_GT(estimate.value(milliseconds(5), decay, now), microseconds(35'000));
    EXPECT_LT(estimate.value(milliseconds(5), decay, now + milliseconds(20'000)), microseconds(6'000));
}

// Guards against a target that looks better than others because it fails fast.
TEST(peak_ewma_estimate, a_fast_failure_does_not_lower_the_estimate) {
    peak_ewma_estimate estimate;
    estimate.add(milliseconds(5), milliseconds(5'000), steady_time());
    estimate.raise(microseconds(100), milliseconds(5'000), steady_time(milliseconds(1)));
    EXPECT_GT(estimate.value(microseconds(1), milliseconds(5'000), steady_time(milliseconds(1))),
              microseconds(4'900));
}

TEST(latency_quantiles, follows_a_change_of_latency) {
    latency_quantiles quantiles;
    EXPECT_EQ(quantiles.quantile(0.95), microseconds(0));
    for (int i = 0; i < 5'000; ++i) {
        quantiles.add(milliseconds(2));
    }
    EXPECT_NEAR(static_cast<double>(quantiles.quantile(0.95).count()), 2'200, 300);
    for (int i = 0; i < 5'000; ++i) {
        quantiles.add(milliseconds(30));
    }
    EXPECT_NEAR(static_cast<double>(quantiles.quantile(0.5).count()), 32'000, 4'000);
}

} // namespace
} // namespace boragehollow::balancing
