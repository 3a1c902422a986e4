#include "boragehollow/balancing/token_budget.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

using std::chrono::seconds;

int take_all(token_budget& budget, steady_time now) {
    int taken = 0;
    while (budget.try_take(now)) {
        ++taken;
    }
    return taken;
}

TEST(token_budget, gives_a_ratio_of_recent_calls_and_a_minimum) {
    token_budget budget;
    budget.set_policy(0.2, 3);
    steady_time now;
    EXPECT_EQ(take_all(budget, now), 3);
    for (int i = 0; i < 100; ++i) {
        budget.add_call(now);
    }
    EXPECT_NEAR(take_all(budget, now), 20, 1);
    now += seconds(1);
    EXPECT_EQ(take_all(budget, now), 3);
}

// Guards against an idle service that saves its budget up and spends it in one burst.
TEST(token_budget, does_not_save_up) {
    token_budget budget;
    budget.set_policy(0.2, 3);
    steady_time now;
    for (int i = 0; i < 1'000; ++i) {
        budget.add_call(now);
    }
    now += seconds(100);
    EXPECT_EQ(take_all(budget, now), 3);
}

} // namespace
} // namespace boragehollow::balancing
