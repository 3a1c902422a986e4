#include "boragehollow/balancing/retry_controller.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

using namespace std::chrono_literals;

const steady_time start{};

retry_limits facts(bool idempotent, std::uint32_t attempts = 2) {
    return {idempotent, attempts, start + 1s};
}

template <class Step>
bool is(const retry_decision& step) {
    return std::holds_alternative<Step>(step);
}

// Guards against a second run of an order whose answer was lost.
TEST(CallPlan, NeverRepeatsAnUnknownOutcomeOfANonIdempotentCall) {
    retry_controller controller(facts(false));
    EXPECT_TRUE(is<fail_call>(controller.decide(response_lost{}, start)));
    EXPECT_FALSE(controller.definitely_not_run());
}

// Guards against more targets for one call than the route allows.
TEST(CallPlan, StopsAtTheAttemptsOfTheRoute) {
    retry_controller controller(facts(true, 2));
    EXPECT_TRUE(is<start_attempt>(controller.decide(response_lost{}, start)));
    EXPECT_TRUE(is<fail_call>(controller.decide(response_lost{}, start)));
}

// Guards against refusals by daemons that use up the attempts, though no target received the call.
TEST(CallPlan, DoesNotCountRefusalsAsAttempts) {
    retry_controller controller(facts(false, 1));
    const retry_decision next = controller.decide(daemon_refused{30ms}, start);
    ASSERT_TRUE(is<start_attempt>(next));
    EXPECT_EQ(std::get<start_attempt>(next).kind, attempt_kind::redirect);
    EXPECT_EQ(controller.sent_to_targets(), 0U);
}

// Guards against a caller that is told "not run" after a run, and against advice that forgets the longest
// wait.
TEST(CallPlan, RefusesOnlyWhatHasNotRun) {
    retry_controller refused(facts(false, 1));
    retry_decision last = return_response{};
    for (int i = 0; i < 10 && !is<refuse_call>(last); ++i) {
        last = refused.decide(daemon_refused{700ms}, start);
    }
    ASSERT_TRUE(is<refuse_call>(last));
    EXPECT_EQ(std::get<refuse_call>(last).retry_after, 700ms);

    retry_controller ran(facts(true, 3));
    ran.decide(response_lost{}, start);
    EXPECT_TRUE(is<fail_call>(ran.decide_without_target(0ms)));
}

// Guards against a failure of a target that hides the answer when no other attempt is left.
TEST(CallPlan, DeliversTheServerErrorWhenNoAttemptIsLeft) {
    retry_controller controller(facts(true, 1));
    EXPECT_TRUE(is<return_response>(controller.decide(target_responded{500, false}, start)));
    retry_controller order(facts(false, 3));
    EXPECT_TRUE(is<return_response>(order.decide(target_responded{500, false}, start)));
}

// Guards against attempts that cannot end before the deadline.
TEST(CallPlan, StartsNoAttemptAtTheDeadline) {
    retry_controller controller(facts(true, 3));
    EXPECT_TRUE(is<fail_call>(controller.decide(response_lost{}, start + 995ms)));
}

} // namespace
} // namespace boragehollow::balancing
