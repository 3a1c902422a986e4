#include "boragehollow/admission/duplicate_table.hpp"

#include <gtest/gtest.h>

#include <string>

namespace boragehollow::admission {
namespace {

TEST(duplicate_table, holds_for_as_long_as_work_runs_and_then_for_the_retention) {
    duplicate_table table(10, milliseconds(100));
    const steady_time start;
    table.hold("a");
    EXPECT_TRUE(table.contains("a", start + std::chrono::hours(1)));
    table.retain("a", start);
    EXPECT_TRUE(table.contains("a", start + milliseconds(99)));
    EXPECT_FALSE(table.contains("a", start + milliseconds(100)));
}

// Guards against an expiry entry of an earlier, forgotten use that removes the id of a running call.
TEST(duplicate_table, an_old_expiry_does_not_remove_an_id_that_is_held_again) {
    duplicate_table table(10, milliseconds(100));
    const steady_time start;
    table.retain("a", start);
    table.forget("a");
    table.hold("a");
    EXPECT_TRUE(table.contains("a", start + milliseconds(200)));
}

TEST(duplicate_table, stays_within_its_capacity) {
    duplicate_table table(3, milliseconds(100));
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(table.full(steady_time()));
        table.retain(std::to_string(i), steady_time());
    }
    EXPECT_TRUE(table.full(steady_time()));
    EXPECT_FALSE(table.full(steady_time(milliseconds(100))));
}

} // namespace
} // namespace boragehollow::admission
