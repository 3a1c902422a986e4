#include "boragehollow/balancing/call_plan.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

using namespace std::chrono_literals;

const steady_time start{};

call_facts facts(bool idempotent, std::uint32_t attempts = 2) {
    return {idempotent, attempts, start + 1s};
}

template <class Step>
bool is(const plan_step& step) {
    return std::holds_alternative<Step>(step);
}

// Guards against a second run of an order whose answer was lost.
TEST(CallPlan, NeverRepeatsAnUnknownOutcomeOfANonIdempotentCall) {
    call_plan plan(facts(false));
    EXPECT_TRUE(is<fail_call>(plan.after(outcome_lost{}, start)));
    EXPECT_FALSE(plan.certainly_not_run());
}

// Guards against more targets for one call than the route allows.
TEST(CallPlan, StopsAtTheAttemptsOfTheRoute) {
    call_plan plan(facts(true, 2));
    EXPECT_TRUE(is<attempt_again>(plan.after(outcome_lost{}, start)));
    EXPECT_TRUE(is<fail_call>(plan.after(outcome_lost{}, start)));
}

// Guards against refusals by daemons that use up the attempts, though no target received the call.
TEST(CallPlan, DoesNotCountRefusalsAsAttempts) {
    call_plan plan(facts(false, 1));
    const plan_step next = plan.after(daemon_refused{30ms}, start);
    ASSERT_TRUE(is<attempt_again>(next));
    EXPECT_EQ(std::get<attempt_again>(next).kind, attempt_kind::redirect);
    EXPECT_EQ(plan.sent_to_targets(), 0U);
}

// Guards against a caller that is told "not run" after a run, and against advice that forgets the longest
// wait.
TEST(CallPlan, RefusesOnlyWhatHasNotRun) {
    call_plan refused(facts(false, 1));
    plan_step last = deliver_answer{};
    for (int i = 0; i < 10 && !is<refuse_call>(last); ++i) {
        last = refused.after(daemon_refused{700ms}, start);
    }
    ASSERT_TRUE(is<refuse_call>(last));
    EXPECT_EQ(std::get<refuse_call>(last).retry_after, 700ms);

    call_plan ran(facts(true, 3));
    ran.after(outcome_lost{}, start);
    EXPECT_TRUE(is<fail_call>(ran.without_target(0ms)));
}

// Guards against a failure of a target that hides the answer when no other attempt is left.
TEST(CallPlan, DeliversTheServerErrorWhenNoAttemptIsLeft) {
    call_plan plan(facts(true, 1));
    EXPECT_TRUE(is<deliver_answer>(plan.after(target_answered{500, false}, start)));
    call_plan order(facts(false, 3));
    EXPECT_TRUE(is<deliver_answer>(order.after(target_answered{500, false}, start)));
}

// Guards against attempts that cannot end before the deadline.
TEST(CallPlan, StartsNoAttemptAtTheDeadline) {
    call_plan plan(facts(true, 3));
    EXPECT_TRUE(is<fail_call>(plan.after(outcome_lost{}, start + 995ms)));
}

} // namespace
} // namespace boragehollow::balancing
