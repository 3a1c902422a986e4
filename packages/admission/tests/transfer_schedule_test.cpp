#include "boragehollow/admission/transfer_schedule.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace boragehollow::admission {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t body_bytes = 280'000;

// Guards against concurrent uploads that saturate a 23 Mbit/s link and delay small calls by half a second, as
// with 12 uploads per second for each target.
TEST(transfer_schedule, concurrent_bodies_leave_part_of_the_link_free) {
    transfer_schedule schedule(23.1);
    const common::steady_time start(1h);
    std::vector<std::pair<std::chrono::milliseconds, std::chrono::milliseconds>> granted;
    int refused = 0;
    for (int i = 0; i < 120; ++i) {
        const auto now = start + i * 83ms;
        const auto offset = std::chrono::duration_cast<std::chrono::milliseconds>(now - start);
        if (const auto window = schedule.reserve(body_bytes, now)) {
            granted.emplace_back(offset + window->begin_after,
                                 offset + window->begin_after + window->duration);
            continue;
        }
        ++refused;
    }
    const double megabits = static_cast<double>(granted.size() * body_bytes) * 8 / 1e6 / 10.5;
    EXPECT_LT(megabits, 23.1 * 0.8);
    EXPECT_GT(megabits, 23.1 * 0.65);
    EXPECT_GT(refused, 30);
    for (std::size_t i = 1; i < granted.size(); ++i) {
        EXPECT_GE(granted[i].first + 2ms, granted[i - 1].second) << i;
    }
}

// Guards against delaying uploads on a link with free bandwidth.
TEST(transfer_schedule, a_fast_link_accepts_a_body_at_once) {
    transfer_schedule schedule(1'000);
    const auto window = schedule.reserve(body_bytes, common::steady_time(1h));
    ASSERT_TRUE(window);
    EXPECT_EQ(window->begin_after, 0ms);
    EXPECT_LE(window->duration, 4ms);
}

// Guards against a retry delay that ends before the link is free.
TEST(transfer_schedule, a_refusal_states_when_the_link_is_free) {
    transfer_schedule schedule(7);
    const common::steady_time now(1h);
    tl::expected<transfer_window, std::chrono::milliseconds> last = schedule.reserve(body_bytes, now);
    while (last) {
        last = schedule.reserve(body_bytes, now);
    }
    EXPECT_GT(last.error(), 600ms);
    EXPECT_TRUE(schedule.reserve(body_bytes, now + last.error()));
}

// Guards against a target that takes calls with large responses although its link is the bottleneck: 20
// downloads of 90 KB a second need more than a link of 12 Mbit/s, while the slots of the target are mostly
// free.
TEST(transfer_schedule, reports_a_link_that_is_the_bottleneck) {
    transfer_schedule schedule(12, outgoing_limits);
    common::steady_time now(1h);
    EXPECT_EQ(schedule.utilization(now), 0);
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        now += 50ms;
        if (schedule.excessive_wait(now)) {
            ++refused;
            continue;
        }
        schedule.append(90'000, now);
    }
    EXPECT_GT(refused, 20);
    EXPECT_LT(refused, 100);
    EXPECT_GT(schedule.utilization(now), 0.9);
    now += 3s;
    EXPECT_EQ(schedule.utilization(now), 0);
}

} // namespace
} // namespace boragehollow::admission
