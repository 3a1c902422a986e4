#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <gtest/gtest.h>

namespace boragehollow::telemetry {
namespace {

using namespace std::chrono_literals;

timeline_event event_at(std::chrono::microseconds wall, std::uint32_t counter, const std::string& host) {
    timeline_event event;
    event.at = {common::wall_time(wall), counter};
    event.host = host;
    return event;
}

constexpr std::size_t max_bytes = 1024 * 1024;

// Guards against a timeline that outgrows the memory of its host because its events hold long texts of
// callers (review case 8).
TEST(timeline_buffer, evicts_the_oldest_events_beyond_its_size) {
    timeline_buffer buffer(8'192, max_bytes);
    for (int index = 0; index < 1'000; ++index) {
        timeline_event event = event_at(1us, static_cast<std::uint32_t>(index), "a");
        event.fields["target"] = std::string(16'000, 'x');
        buffer.add(std::move(event));
    }
    EXPECT_GT(buffer.size(), 50U);
    EXPECT_LT(buffer.size() * 16'000, max_bytes);
    EXPECT_EQ(buffer.size() + buffer.dropped(), 1'000U);
    EXPECT_EQ(buffer.query(std::nullopt, 1).events.front().at.counter, 999U);
}

// Guards against unbounded growth, and against evicted events that are not counted.
TEST(timeline_buffer, evicts_the_oldest_events_and_counts_them) {
    timeline_buffer buffer(2, max_bytes);
    for (int index = 0; index < 5; ++index) {
        buffer.add(event_at(1us, static_cast<std::uint32_t>(index), "a"));
    }
    const timeline_page page = buffer.query(std::nullopt, 10);
    EXPECT_EQ(page.dropped, 3U);
    ASSERT_EQ(page.events.size(), 2U);
    EXPECT_EQ(page.events[0].at.counter, 3U);
}

TEST(timeline_buffer, query_returns_the_newest_events_after_a_time) {
    timeline_buffer buffer(10, max_bytes);
    for (int index = 0; index < 5; ++index) {
        buffer.add(event_at(std::chrono::microseconds(index), 0, "a"));
    }
    EXPECT_EQ(buffer.query(event_at(2us, 0, "a").at, 10).events.size(), 2U);
    const timeline_page newest = buffer.query(std::nullopt, 3);
    ASSERT_EQ(newest.events.size(), 3U);
    EXPECT_EQ(newest.events[0].at.wall, common::wall_time(2us));
}

// Guards against an effect that precedes its cause in the merged timeline of several hosts.
TEST(timeline_buffer, merges_hosts_by_time_then_counter_then_host) {
    const std::vector<timeline_event> merged = merge_timelines({
        {event_at(1us, 0, "b"), event_at(3us, 1, "b")},
        {event_at(1us, 0, "a"), event_at(3us, 0, "a")},
    });
    ASSERT_EQ(merged.size(), 4U);
    EXPECT_EQ(merged[0].host, "a");
    EXPECT_EQ(merged[1].host, "b");
    EXPECT_EQ(merged[2].host, "a");
    EXPECT_EQ(merged[3].at.counter, 1U);
}

} // namespace
} // namespace boragehollow::telemetry
