#include "boragehollow/balancing/attempt_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace boragehollow::balancing {
namespace {

using std::chrono::seconds;

int take_all(attempt_budget& budget, steady_time now) {
    int taken = 0;
    while (budget.try_take(now)) {
        ++taken;
    }
    return taken;
}

TEST(attempt_budget, allows_a_ratio_of_recent_calls_and_a_minimum) {
    attempt_budget budget;
    budget.set_policy(0.2, 3);
    steady_time now;
    EXPECT_EQ(take_all(budget, now), 3);
    for (int i = 0; i < 100; ++i) {
        budget.add_call(now);
    }
    // Attempts allowed by the minimum count in the same window.
    EXPECT_NEAR(take_all(budget, now), 17, 1);
    now += seconds(1);
    EXPECT_EQ(take_all(budget, now), 3);
}

// Guards against an idle service that accumulates budget and spends it in one burst.
TEST(attempt_budget, does_not_accumulate_while_idle) {
    attempt_budget budget;
    budget.set_policy(0.2, 3);
    steady_time now;
    for (int i = 0; i < 1'000; ++i) {
        budget.add_call(now);
    }
    now += seconds(100);
    EXPECT_EQ(take_all(budget, now), 3);
}

// Guards against a 10 s window with more retries than the ratio of its calls, when a burst of failures
// follows a period without any.
TEST(attempt_budget, keeps_the_ratio_in_every_window) {
    attempt_budget budget;
    budget.set_policy(0.1, 0);
    steady_time now;
    std::vector<std::pair<steady_time, bool>> events;
    for (int step = 0; step < 6'000; ++step) {
        now += std::chrono::milliseconds(10);
        budget.add_call(now);
        const bool failing = step > 2'000;
        events.emplace_back(now, failing && budget.try_take(now));
    }
    for (std::size_t begin = 0; begin + 1'000 < events.size(); begin += 50) {
        const auto first = events.begin() + static_cast<std::ptrdiff_t>(begin);
        const auto taken =
            std::count_if(first, first + 1'000, [](const auto& event) { return event.second; });
        // The window has a granularity of 1 s.
        EXPECT_LE(taken, 110) << begin;
    }
}

} // namespace
} // namespace boragehollow::balancing
