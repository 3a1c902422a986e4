#include "boragehollow/balancing/token_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

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
    // What the minimum gave counts in the same window.
    EXPECT_NEAR(take_all(budget, now), 17, 1);
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

// Guards against a window of 10 s that holds more retries than the ratio of its calls, where a burst of
// failures follows a calm time.
TEST(token_budget, keeps_the_ratio_in_every_window) {
    token_budget budget;
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
        // A slice of 1 s is the grain of the window.
        EXPECT_LE(taken, 110) << begin;
    }
}

} // namespace
} // namespace boragehollow::balancing
