#include "boragehollow/balancing/late_response_policy.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

// Guards against a call that is refused although a late answer was never asked for: a service with two
// targets that both refuse a timely one, as in incident inc-604c of inkwi-mesh.
TEST(late_response_policy, a_late_answer_is_asked_for_when_all_of_two_targets_refused) {
    late_response_policy policy;
    policy.record_refusal();
    policy.record_refusal();
    ASSERT_TRUE(policy.allow_late_response());
    EXPECT_TRUE(policy.accepts_late());
}

TEST(late_response_policy, the_only_target_is_asked_again_for_a_late_answer) {
    late_response_policy policy;
    policy.record_refusal();
    EXPECT_FALSE(policy.accepts_late());
    ASSERT_TRUE(policy.allow_late_response());
    EXPECT_TRUE(policy.accepts_late());
}

// Guards against a search without end in a service that is full.
TEST(late_response_policy, targets_that_refused_a_late_answer_are_not_asked_again) {
    late_response_policy policy;
    policy.record_refusal();
    ASSERT_TRUE(policy.allow_late_response());
    policy.record_refusal();
    EXPECT_FALSE(policy.allow_late_response());
    late_response_policy wide;
    wide.record_refusal();
    wide.record_refusal();
    wide.record_refusal();
    EXPECT_FALSE(wide.allow_late_response());
}

} // namespace
} // namespace boragehollow::balancing
