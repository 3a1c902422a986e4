#include "boragehollow/balancing/caller_wait_estimator.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

using namespace std::chrono_literals;

// Guards against treating a caller that retries after a refusal as if it had just started to wait.
TEST(caller_wait_estimator, recognizes_a_retry_by_its_shorter_timeout) {
    caller_wait_estimator estimator;
    const common::steady_time start{};
    EXPECT_EQ(estimator.estimate_wait("orders", 5000ms, start), 0ms);
    EXPECT_EQ(estimator.estimate_wait("orders", 3800ms, start + 1s), 1200ms);
    EXPECT_EQ(estimator.estimate_wait("stock", 3800ms, start + 1s), 0ms);
}

// Guards against one caller with a long timeout that makes all later ones look like retries.
TEST(caller_wait_estimator, forgets_a_long_timeout_that_is_no_longer_stated) {
    caller_wait_estimator estimator;
    const common::steady_time start{};
    estimator.estimate_wait("orders", 60000ms, start);
    EXPECT_EQ(estimator.estimate_wait("orders", 5000ms, start + 31s), 55000ms);
    EXPECT_EQ(estimator.estimate_wait("orders", 5000ms, start + 62s), 0ms);
}

} // namespace
} // namespace boragehollow::balancing
