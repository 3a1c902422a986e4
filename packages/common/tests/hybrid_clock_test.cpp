#include "boragehollow/common/hybrid_clock.hpp"

#include <gtest/gtest.h>

namespace boragehollow::common {
namespace {

using namespace std::chrono_literals;

constexpr wall_time noon{std::chrono::microseconds(43'200'000'000)};

// Guards against a reply with an earlier timestamp than its request when the receiving host's clock is
// behind.
TEST(hybrid_clock, receipt_is_later_than_the_message_despite_skew) {
    hybrid_clock ahead;
    hybrid_clock behind;
    const hybrid_time sent = ahead.stamp(noon + 2s);
    EXPECT_GT(behind.observe(sent, noon), sent);
}

TEST(hybrid_clock, timestamps_increase_when_the_wall_clock_steps_back) {
    hybrid_clock clock;
    const hybrid_time first = clock.stamp(noon);
    EXPECT_GT(clock.stamp(noon - 10s), first);
}

TEST(hybrid_clock, ignores_a_timestamp_too_far_ahead) {
    hybrid_clock clock;
    const hybrid_time received = clock.observe({noon + 24h, 0}, noon);
    EXPECT_EQ(received.wall, noon);
}

} // namespace
} // namespace boragehollow::common
