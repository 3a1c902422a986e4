#include "boragehollow/settings/compare.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragehollow::settings {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

// Guards against a reload that reports an unchanged entry, or leaves out a changed one.
TEST(compare, names_the_entries_that_differ) {
    daemon_settings before;
    daemon_settings after;
    EXPECT_THAT(changed_keys(before, after), IsEmpty());
    after.timing.heartbeat = 2'500ms;
    after.target.service = "desk";
    after.limits.link_megabits = 12.5;
    after.logging.level = log_level::warning;
    EXPECT_THAT(changed_keys(before, after),
                ElementsAre("target.service", "limits.link_megabits", "timing.heartbeat", "logging.level"));
}

} // namespace
} // namespace boragehollow::settings
