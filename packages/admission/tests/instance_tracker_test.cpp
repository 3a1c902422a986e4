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

instance_tracker make_tracker() {
    return instance_tracker({"desk", address, 6s});
}

template <class Verdict>
bool is(const announcement_result& verdict) {
    return std::holds_alternative<Verdict>(verdict);
}

// Guards against a late announcement that undoes the drain of its own incarnation.
TEST(InstanceLedger, KeepsADrainAgainstLateAndLaterAnnouncements) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 1), start);
    tracker.record_announcement(announcement("a", 10, 3, target_state::draining), start);
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 2), start)));
    tracker.record_announcement(announcement("a", 10, 4), start);
    EXPECT_EQ(tracker.current()->state, target_state::draining);
}

// Guards against an announcement that a partition held up and that replaces the newer incarnation.
TEST(InstanceLedger, IgnoresAnEarlierIncarnationAtTheSameAddress) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("new", 20, 1), start);
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("old", 10, 99), start)));
    EXPECT_EQ(tracker.current()->id, "new");
}

// Guards against a target that comes back by a late announcement after it has left.
TEST(InstanceLedger, DoesNotBringBackAnIncarnationThatLeft) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 1), start);
    EXPECT_TRUE(tracker.record_departure("a", 0));
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 2), start)));
    EXPECT_FALSE(tracker.current().has_value());
}

// Guards against a late announcement of a target that left just after its daemon had started beside it, so
// that the daemon had not heard of it yet.
TEST(InstanceLedger, DoesNotBringBackAnIncarnationThatLeftBeforeItWasKnown) {
    instance_tracker tracker = make_tracker();
    EXPECT_FALSE(tracker.record_departure("a", 0));
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 25), start)));
    EXPECT_TRUE(is<announcement_outdated>(tracker.record_announcement(announcement("a", 10, 1), start)));
    EXPECT_TRUE(is<announcement_accepted>(tracker.record_announcement(announcement("a", 20, 1), start)));

    instance_tracker told = make_tracker();
    EXPECT_FALSE(told.record_departure("a", 10));
    EXPECT_TRUE(is<announcement_outdated>(told.record_announcement(announcement("a", 10, 1), start)));
}

// Guards against a restart under the same id that is taken for a late announcement, as its counts begin anew.
TEST(InstanceLedger, TakesARestartUnderTheSameId) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 50), start);
    EXPECT_TRUE(is<announcement_accepted>(tracker.record_announcement(announcement("a", 30, 1), start)));
    tracker.record_departure("a", 0);
    EXPECT_TRUE(is<announcement_accepted>(tracker.record_announcement(announcement("a", 40, 1), start)));
    EXPECT_TRUE(tracker.current().has_value());
}

// Guards against calls to a target of another service that got the address.
TEST(InstanceLedger, RefusesOtherServicesAndAddresses) {
    instance_tracker tracker = make_tracker();
    auto other = announcement("a", 10, 1);
    other.service = "drawings";
    EXPECT_TRUE(is<announcement_rejected>(tracker.record_announcement(other, start)));
    auto moved = announcement("a", 10, 1);
    moved.address.port = 9;
    EXPECT_TRUE(is<announcement_rejected>(tracker.record_announcement(moved, start)));
}

// Guards against calls that wait for a crashed target until its silence is noticed.
TEST(InstanceLedger, DropsATargetThatRefusesConnectionsUntilItAnnouncesItselfAgain) {
    instance_tracker tracker = make_tracker();
    tracker.record_announcement(announcement("a", 10, 1), start);
    EXPECT_TRUE(tracker.mark_unreachable());
    EXPECT_FALSE(tracker.current().has_value());
    tracker.record_announcement(announcement("a", 10, 2), start);
    EXPECT_TRUE(tracker.current().has_value());
    EXPECT_FALSE(tracker.expire_if_silent(start + 5s));
    EXPECT_TRUE(tracker.expire_if_silent(start + 7s));
}

} // namespace
} // namespace boragehollow::admission
