#include "boragehollow/admission/instance_ledger.hpp"

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

instance_ledger make_ledger() {
    return instance_ledger({"desk", address, 6s});
}

template <class Verdict>
bool is(const ledger_verdict& verdict) {
    return std::holds_alternative<Verdict>(verdict);
}

// Guards against a late announcement that undoes the drain of its own incarnation.
TEST(InstanceLedger, KeepsADrainAgainstLateAndLaterAnnouncements) {
    instance_ledger ledger = make_ledger();
    ledger.announce(announcement("a", 10, 1), start);
    ledger.announce(announcement("a", 10, 3, target_state::draining), start);
    EXPECT_TRUE(is<announcement_outdated>(ledger.announce(announcement("a", 10, 2), start)));
    ledger.announce(announcement("a", 10, 4), start);
    EXPECT_EQ(ledger.current()->state, target_state::draining);
}

// Guards against an announcement that a partition held up and that replaces the newer incarnation.
TEST(InstanceLedger, IgnoresAnEarlierIncarnationAtTheSameAddress) {
    instance_ledger ledger = make_ledger();
    ledger.announce(announcement("new", 20, 1), start);
    EXPECT_TRUE(is<announcement_outdated>(ledger.announce(announcement("old", 10, 99), start)));
    EXPECT_EQ(ledger.current()->id, "new");
}

// Guards against a target that comes back by a late announcement after it has left.
TEST(InstanceLedger, DoesNotBringBackAnIncarnationThatLeft) {
    instance_ledger ledger = make_ledger();
    ledger.announce(announcement("a", 10, 1), start);
    EXPECT_TRUE(ledger.leave("a", 0));
    EXPECT_TRUE(is<announcement_outdated>(ledger.announce(announcement("a", 10, 2), start)));
    EXPECT_FALSE(ledger.current().has_value());
}

// Guards against a late announcement of a target that left just after its daemon had started beside it, so
// that the daemon had not heard of it yet.
TEST(InstanceLedger, DoesNotBringBackAnIncarnationThatLeftBeforeItWasKnown) {
    instance_ledger ledger = make_ledger();
    EXPECT_FALSE(ledger.leave("a", 0));
    EXPECT_TRUE(is<announcement_outdated>(ledger.announce(announcement("a", 10, 25), start)));
    EXPECT_TRUE(is<announcement_outdated>(ledger.announce(announcement("a", 10, 1), start)));
    EXPECT_TRUE(is<announcement_taken>(ledger.announce(announcement("a", 20, 1), start)));

    instance_ledger told = make_ledger();
    EXPECT_FALSE(told.leave("a", 10));
    EXPECT_TRUE(is<announcement_outdated>(told.announce(announcement("a", 10, 1), start)));
}

// Guards against a restart under the same id that is taken for a late announcement, as its counts begin anew.
TEST(InstanceLedger, TakesARestartUnderTheSameId) {
    instance_ledger ledger = make_ledger();
    ledger.announce(announcement("a", 10, 50), start);
    EXPECT_TRUE(is<announcement_taken>(ledger.announce(announcement("a", 30, 1), start)));
    ledger.leave("a", 0);
    EXPECT_TRUE(is<announcement_taken>(ledger.announce(announcement("a", 40, 1), start)));
    EXPECT_TRUE(ledger.current().has_value());
}

// Guards against calls to a target of another service that got the address.
TEST(InstanceLedger, RefusesOtherServicesAndAddresses) {
    instance_ledger ledger = make_ledger();
    auto other = announcement("a", 10, 1);
    other.service = "drawings";
    EXPECT_TRUE(is<announcement_foreign>(ledger.announce(other, start)));
    auto moved = announcement("a", 10, 1);
    moved.address.port = 9;
    EXPECT_TRUE(is<announcement_foreign>(ledger.announce(moved, start)));
}

// Guards against calls that wait for a crashed target until its silence is noticed.
TEST(InstanceLedger, DropsATargetThatRefusesConnectionsUntilItAnnouncesItselfAgain) {
    instance_ledger ledger = make_ledger();
    ledger.announce(announcement("a", 10, 1), start);
    EXPECT_TRUE(ledger.unreachable());
    EXPECT_FALSE(ledger.current().has_value());
    ledger.announce(announcement("a", 10, 2), start);
    EXPECT_TRUE(ledger.current().has_value());
    EXPECT_FALSE(ledger.check_silence(start + 5s));
    EXPECT_TRUE(ledger.check_silence(start + 7s));
}

} // namespace
} // namespace boragehollow::admission
