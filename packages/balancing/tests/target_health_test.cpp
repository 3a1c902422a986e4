#include "boragehollow/balancing/target_health.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

using std::chrono::milliseconds;

TEST(target_health, readmits_after_one_trial_at_a_time_with_increasing_ejection_times) {
    const config::ejection_policy policy;
    target_health health;
    steady_time now;
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(health.record_failure(false, true, policy, now), i == 4);
    }
    for (const int expected : {1, 2, 4, 8, 16, 30, 30}) {
        const milliseconds time = std::chrono::seconds(expected);
        EXPECT_FALSE(health.trial_due(true, policy, now + time - milliseconds(1))) << expected;
        now += time;
        EXPECT_TRUE(health.trial_due(true, policy, now));
        EXPECT_FALSE(health.trial_due(false, policy, now)) << "not before another base time";
        health.begin_trial();
        EXPECT_FALSE(health.trial_due(true, policy, now)) << "a trial is running";
        health.record_failure(true, true, policy, now);
    }
    now += policy.max_time;
    health.begin_trial();
    health.record_success(true, false, true, policy, now);
    EXPECT_FALSE(health.ejected());
}

TEST(target_health, an_inconclusive_trial_allows_another_one) {
    const config::ejection_policy policy;
    target_health health;
    const steady_time now;
    health.record_success(false, true, true, policy, now);
    ASSERT_TRUE(health.ejected());
    health.begin_trial();
    health.record_inconclusive(true);
    EXPECT_TRUE(health.trial_due(true, policy, now + policy.base_time));
}

} // namespace
} // namespace boragehollow::balancing
