#include "boragehollow/admission/adaptive_limit.hpp"

#include <gtest/gtest.h>

namespace boragehollow::admission {
namespace {

steady_time feed(adaptive_limit& limit, milliseconds latency, int count, steady_time now) {
    for (int i = 0; i < count; ++i) {
        now += milliseconds(5);
        limit.observe(latency, limit.value(), now);
    }
    return now;
}

TEST(adaptive_limit, decreases_while_latency_is_high_and_recovers) {
    adaptive_limit limit;
    limit.set_bounds(3, 12);
    steady_time now = feed(limit, milliseconds(4), 200, steady_time());
    EXPECT_EQ(limit.value(), 12U);
    now = feed(limit, milliseconds(40), 200, now);
    EXPECT_EQ(limit.value(), 3U);
    feed(limit, milliseconds(4), 400, now);
    EXPECT_EQ(limit.value(), 12U);
}

// Guards against a limit that stays low forever after the service time increased permanently.
TEST(adaptive_limit, recovers_after_a_permanent_latency_increase) {
    adaptive_limit limit;
    limit.set_bounds(1, 12);
    const steady_time now = feed(limit, milliseconds(4), 200, steady_time());
    feed(limit, milliseconds(12), 4'000, now);
    EXPECT_EQ(limit.value(), 12U);
}

} // namespace
} // namespace boragehollow::admission
