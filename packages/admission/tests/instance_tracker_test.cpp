#include "boragehollow/admission/instance_tracker.hpp"

#include <gtest/gtest.h>

namespace boragehollow::admission {
namespace {

using namespace std::chrono_literals;

const steady_time start{};
const common::endpoint address{"10.0.0.1", 8080};

instance_announcement announcement(std::string id, std::uint64_t incarnation, std::uint64_t sequence,
                                   target_state state = target_state::ready) {
    return {std::move(id), address, "desk", 6, state, incarnation, sequence};
}

/// Tracker of a daemon that knows that nothing was withdrawn before it started.
instance_tracker make_tracker() {
    instance_tracker tracker({"desk", address, 6s});
    tracker.complete_history();
    return tracker;
}

template <class Result>
bool is(const announcement_result& result) {
    return std::holds_alternative<Result>(result);
}

// Guards against a delayed announcement that reverts the drain of its own incarnation.
TEST(instance_tracker, keeps_draining_despite_delayed_and_later_announcements) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 1), start);
    tracker.record_announcement(announcement("a", 10, 3, target_state::draining), start);
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 2), start)));
    tracker.record_announcement(announcement("a", 10, 4), start);
    EXPECT_EQ(tracker.current()->state, target_state::draining);
}

// Guards against an announcement delayed by a network partition that replaces a newer incarnation.
TEST(instance_tracker, ignores_an_earlier_incarnation_at_the_same_address) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("new", 20, 1), start);
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("old", 10, 99), start)));
    EXPECT_EQ(tracker.current()->id, "new");
}

// Guards against a delayed announcement that restores a departed target.
TEST(instance_tracker, does_not_restore_a_departed_incarnation) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 1), start);
    EXPECT_TRUE(tracker.record_departure("a", 0));
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 2), start)));
    EXPECT_FALSE(tracker.current().has_value());
}

// Guards against a delayed announcement of a target that departed right after the daemon started, before the
// daemon had received any announcement from it.
TEST(instance_tracker, does_not_restore_an_incarnation_that_departed_before_it_was_known) {
    instance_tracker tracker = make_tracker();
    EXPECT_FALSE(tracker.record_departure("a", 0));
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 25), start)));
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 1), start)));
    EXPECT_TRUE(is<announcement_accepted>(tracker.record_announcement(announcement("a", 20, 1), start)));

    instance_tracker with_incarnation = make_tracker();
    EXPECT_FALSE(with_incarnation.record_departure("a", 10));
    EXPECT_TRUE(
        is<announcement_outdated>(with_incarnation.record_announcement(announcement("a", 10, 1), start)));
}

// Guards against a restart under the same id that is taken for a delayed announcement because its sequence
// numbers start again.
TEST(instance_tracker, accepts_a_restart_under_the_same_id) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 50), start);
    EXPECT_TRUE(is<announcement_accepted>(tracker.record_announcement(announcement("a", 30, 1), start)));
    tracker.record_departure("a", 0);
    EXPECT_TRUE(is<announcement_accepted>(tracker.record_announcement(announcement("a", 40, 1), start)));
    EXPECT_TRUE(tracker.current().has_value());
}

// Guards against calls to a target of another service that took over the address.
TEST(instance_tracker, rejects_other_services_and_addresses) {
    instance_tracker tracker = make_tracker();
    auto other = announcement("a", 10, 1);
    other.service = "drawings";
    EXPECT_TRUE(is<announcement_rejected>(tracker.record_announcement(other, start)));
    auto moved = announcement("a", 10, 1);
    moved.address.port = 9;
    EXPECT_TRUE(is<announcement_rejected>(tracker.record_announcement(moved, start)));
}

// Guards against calls that wait for a crashed target until its silence timeout.
TEST(instance_tracker, drops_an_unreachable_target_until_its_next_announcement) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 1), start);
    EXPECT_TRUE(tracker.mark_unreachable());
    EXPECT_FALSE(tracker.current().has_value());
    tracker.record_announcement(announcement("a", 10, 2), start);
    EXPECT_TRUE(tracker.current().has_value());
    EXPECT_FALSE(tracker.expire_if_silent(start + 5s));
    EXPECT_TRUE(tracker.expire_if_silent(start + 7s));
}

// Guards against a delayed announcement that brings a departed target back after a restart of the daemon,
// which held the departure in its memory only.
TEST(instance_tracker, restored_departure_binds_after_a_restart) {
    instance_tracker before = make_tracker();
    before.record_announcement(announcement("a", 10, 1), start);
    before.record_departure("a", 10);

    instance_tracker restarted({"desk", address, 6s});
    restarted.restore(before.latest_withdrawn());
    restarted.complete_history();
    EXPECT_TRUE(is<announcement_outdated>(restarted.record_announcement(announcement("a", 10, 9), start)));
    EXPECT_TRUE(is<announcement_accepted>(restarted.record_announcement(announcement("a", 11, 1), start)));
    EXPECT_TRUE(restarted.current().has_value());
}

// Guards against a delayed announcement from before the drain that makes a draining target ready again after
// a restart of the daemon.
TEST(instance_tracker, restored_drain_binds_after_a_restart) {
    instance_tracker before = make_tracker();
    before.record_announcement(announcement("a", 10, 4), start);
    const auto drained = before.record_announcement(announcement("a", 10, 5, target_state::draining), start);
    EXPECT_TRUE(std::get<announcement_accepted>(drained).withdrawn);

    instance_tracker restarted({"desk", address, 6s});
    restarted.restore(before.latest_withdrawn());
    restarted.complete_history();
    restarted.record_announcement(announcement("a", 10, 4), start);
    EXPECT_EQ(restarted.current()->state, target_state::draining);
}

// Guards against a target that is used in the time between the restart of the daemon and the restoring of
// what was withdrawn: a single announcement may be a delayed one.
TEST(instance_tracker, target_needs_a_second_announcement_until_the_history_is_known) {
    instance_tracker tracker({"desk", address, 6s});
    tracker.record_announcement(announcement("a", 10, 7), start);
    EXPECT_FALSE(tracker.current().has_value());
    tracker.record_announcement(announcement("a", 10, 7), start);
    EXPECT_FALSE(tracker.current().has_value());
    const auto second = tracker.record_announcement(announcement("a", 10, 8), start);
    EXPECT_TRUE(std::get<announcement_accepted>(second).changed);
    EXPECT_TRUE(tracker.current().has_value());
    EXPECT_TRUE(tracker.restore({{.id = "a", .incarnation = 10, .ended = true}}));
    EXPECT_FALSE(tracker.current().has_value());

    instance_tracker told({"desk", address, 6s});
    told.record_announcement(announcement("a", 10, 7), start);
    EXPECT_FALSE(told.restore({}));
    EXPECT_FALSE(told.current().has_value()) << "others may know of a withdrawal";
    EXPECT_TRUE(told.complete_history());
    EXPECT_TRUE(told.current().has_value());
}

// Guards against a restored entry that replaces a later departure of the same id.
TEST(instance_tracker, restoring_keeps_what_was_withdrawn_since_the_start) {
    instance_tracker tracker({"desk", address, 6s});
    tracker.record_departure("a", 20);
    tracker.restore(
        {{.id = "a", .incarnation = 10, .ended = true}, {.id = "b", .incarnation = 5, .ended = true}});
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 20, 9), start)));
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("b", 5, 9), start)));
}

// Guards against a full table that drops the lowest id in place of the oldest one.
TEST(instance_tracker, full_table_forgets_the_oldest_departure) {
    instance_tracker tracker = make_tracker();
    tracker.record_departure("z-oldest", 10);
    for (int i = 0; i < 255; ++i) {
        tracker.record_departure("i-" + std::to_string(i), 10);
    }
    tracker.record_departure("a-newest", 10);
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("i-0", 10, 9), start)));
    EXPECT_TRUE(
        is<announcement_outdated>(tracker.record_announcement(announcement("a-newest", 10, 9), start)));
    EXPECT_TRUE(
        is<announcement_accepted>(tracker.record_announcement(announcement("z-oldest", 10, 9), start)));
}

} // namespace
} // namespace boragehollow::admission
