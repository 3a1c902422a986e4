#include "boragehollow/balancing/caller_wait_estimator.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

using namespace std::chrono_literals;

// Guards against a caller that came back and is treated as if it had just begun to wait.
TEST(CallerPatience, TellsACallerThatCameBackByItsShorterTime) {
    caller_wait_estimator estimator;
    const common::steady_time start{};
    EXPECT_EQ(estimator.estimate_wait("orders", 5000ms, start), 0ms);
    EXPECT_EQ(estimator.estimate_wait("orders", 3800ms, start + 1s), 1200ms);
    EXPECT_EQ(estimator.estimate_wait("stock", 3800ms, start + 1s), 0ms);
}

// Guards against one unusual caller that makes all later ones look old.
TEST(CallerPatience, ForgetsALongTimeThatNobodyStatesAnyMore) {
    caller_wait_estimator estimator;
    const common::steady_time start{};
    estimator.estimate_wait("orders", 60000ms, start);
    EXPECT_EQ(estimator.estimate_wait("orders", 5000ms, start + 31s), 55000ms);
    EXPECT_EQ(estimator.estimate_wait("orders", 5000ms, start + 62s), 0ms);
}

} // namespace
} // namespace boragehollow::balancing
