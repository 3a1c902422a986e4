#include "boragehollow/streams/log_client.hpp"
#include "boragehollow/streams/snapshot_stream.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace boragehollow::streams {
namespace {

using namespace std::chrono_literals;

struct fixture : testing::Test {
    std::shared_ptr<memory_log> log = std::make_shared<memory_log>();
    log_client client = memory_log_client{log, "test"};
};

using memory_log_test = fixture;

// Guards against a reader that misses expired records without noticing.
TEST(memory_log_retention, read_before_the_first_retained_record_reveals_the_gap) {
    const auto log = std::make_shared<memory_log>(memory_log_settings{.retained_records = 3});
    const log_client client = memory_log_client{log, "test"};
    for (int i = 1; i <= 5; ++i) {
        EXPECT_EQ(append(client, "config", std::to_string(i), 1s)->value, static_cast<std::uint64_t>(i));
    }
    const auto page = read(client, {"config", revision{1}, 2, 0ms}, 1s);
    EXPECT_EQ(page->first_retained, revision{3});
    EXPECT_EQ(page->next_offset, revision{6});
    ASSERT_EQ(page->records.size(), 2U);
    EXPECT_EQ(*page->records.front().bytes, "3");
}

// Guards against records that are retained too long, so that readers are never tested with a gap.
TEST_F(memory_log_test, records_expire_after_the_retention_time) {
    const log_client short_retention =
        memory_log_client{std::make_shared<memory_log>(memory_log_settings{.retained_time = 20ms}), "test"};
    append(short_retention, "config", "a", 1s);
    std::this_thread::sleep_for(40ms);
    EXPECT_EQ(read(short_retention, {"config", revision{1}, 2, 0ms}, 1s)->first_retained, revision{2});
}

// Guards against a publisher that takes an append that took effect for one that did not.
TEST_F(memory_log_test, errors_distinguish_not_appended_from_unknown) {
    log->set_switches({.outage = true});
    const auto refused = append(client, "config", "a", 1s);
    EXPECT_FALSE(may_have_appended(refused.error()));
    log->set_switches({.lose_answers = 1});
    EXPECT_TRUE(may_have_appended(append(client, "config", "b", 1s).error()));
    log->set_switches({.slow = 50ms});
    EXPECT_TRUE(may_have_appended(append(client, "config", "c", 10ms).error()));
    log->set_switches({});
    EXPECT_EQ(read(client, {"config", revision{1}, 9, 0ms}, 1s)->records.size(), 2U);
}

// Guards against a long poll that returns only when its wait has ended although a record arrived.
TEST_F(memory_log_test, long_poll_ends_with_the_next_record) {
    std::jthread writer([&] {
        std::this_thread::sleep_for(20ms);
        append(client, "config", "a", 1s);
    });
    EXPECT_EQ(read(client, {"config", revision{1}, 9, 10s}, 20s)->records.size(), 1U);
}

// Guards against a failed compactor whose incomplete snapshot hides the complete one before it.
TEST_F(memory_log_test, newest_complete_snapshot_is_found_before_an_incomplete_one) {
    EXPECT_EQ(*read_newest_snapshot(client, "snapshots", 1s), nullptr);
    config::config_snapshot state;
    state.version = revision{7};
    for (int i = 0; i < 2'000; ++i) {
        config::service_policy policy;
        policy.name = "service-" + std::to_string(i) + std::string(200, 'x');
        const config::resource_key key{config::resource_kind::service_policy, policy.name};
        state.resources = state.resources.insert(key, {policy, revision{7}});
    }
    ASSERT_TRUE(append_snapshot(client, "snapshots", state, 1s));
    state.version = revision{8};
    const auto chunks = codec::split_state(state);
    ASSERT_GT(chunks.size(), 1U);
    append(client, "snapshots", chunks.front(), 1s);
    const auto found = read_newest_snapshot(client, "snapshots", 1s);
    ASSERT_TRUE(found && *found);
    EXPECT_EQ((*found)->version, revision{7});
    EXPECT_EQ((*found)->resources.size(), 2'000U);
}

} // namespace
} // namespace boragehollow::streams
