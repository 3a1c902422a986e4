#include "boragehollow/common/random_source.hpp"
#include "boragehollow/membership/datagram.hpp"
#include "boragehollow/membership/gossip_queue.hpp"
#include "boragehollow/membership/member_table.hpp"
#include "boragehollow/membership/roles.hpp"
#include "boragehollow/membership/target_directory_builder.hpp"

#include <gtest/gtest.h>

namespace boragehollow::membership {
namespace {

using namespace std::chrono_literals;

constexpr common::steady_time start{std::chrono::hours(1000)};

member_ref random_member(common::random_source& random, const std::string& host) {
    member value{host, "a", {"10.0.0.1", 1}, {"10.0.0.1", 2}, random.index(3) << 16U};
    value.state = static_cast<member_state>(random.index(4));
    value.target_sequence = random.index(3);
    // As in a real mesh, equal incarnation and sequence mean an equal announcement.
    value.target = {"s", {}, static_cast<std::uint32_t>(value.target_sequence), target_state::ready};
    if (random.index(2) == 0) {
        // A daemon of an older release passes entries on without these.
        value.withdrawn = {{"i", value.target_sequence, false, true}};
    }
    return std::make_shared<const member>(value);
}

// Guards against a merge that depends on the order of messages, with which tables would never converge.
TEST(member_table, merge_does_not_depend_on_order_or_repetition) {
    common::random_source random(1);
    for (int round = 0; round < 300; ++round) {
        std::vector<member_ref> updates;
        updates.reserve(12);
        for (int i = 0; i < 12; ++i) {
            updates.push_back(random_member(random, "host-" + std::to_string(random.index(3))));
        }
        member_table forward;
        member_table backward;
        for (std::size_t i = 0; i < updates.size(); ++i) {
            forward.merge(updates[i], start);
            backward.merge(updates[updates.size() - 1 - i], start);
            backward.merge(updates[updates.size() - 1 - i], start);
        }
        for (const member_ref& value : forward.entries()) {
            ASSERT_EQ(*value, *backward.find(value->host));
        }
        ASSERT_EQ(forward.bucket_hashes(), backward.bucket_hashes());
    }
}

// Guards against a lost announcement: a suspicion that was raised before the announcement arrives after it
// and carries the previous one.
TEST(member_table, a_suspicion_with_an_older_announcement_does_not_replace_the_newer_one) {
    member draining{"h", "a", {}, {}, 1U << 16U};
    draining.target = {"s", {}, 1, target_state::draining};
    draining.target_sequence = 5;
    member suspect = draining;
    suspect.state = member_state::suspect;
    suspect.target.state = target_state::ready;
    suspect.target_sequence = 4;
    const member joined = join(suspect, draining);
    EXPECT_EQ(joined.state, member_state::suspect);
    EXPECT_EQ(joined.target.state, target_state::draining);
}

// Guards against permanent differences between tables: tombstones expire at different times on different
// hosts.
TEST(member_table, tombstones_expire_and_do_not_affect_the_bucket_hashes) {
    member_table table;
    member value{"h", "a", {}, {}, 1U << 16U};
    table.merge(std::make_shared<const member>(value), start);
    value.state = member_state::dead;
    table.merge(std::make_shared<const member>(value), start);
    EXPECT_EQ(table.bucket_hashes(), member_table().bucket_hashes());
    EXPECT_TRUE(table.expire(start + 24h - 1s).empty());
    EXPECT_EQ(table.expire(start + 24h).size(), 1U);
    EXPECT_EQ(table.size(), 0U);
}

// Guards against a burst of changes that exceeds the daemon's share of the network or delays urgent entries.
TEST(gossip_queue, limits_its_rate_and_sends_urgent_entries_first) {
    gossip_queue queue(1000, 3000, start);
    for (int i = 0; i < 500; ++i) {
        queue.add(std::make_shared<const member>(member{"h" + std::to_string(i), "a", {}, {}}), i == 499);
    }
    std::size_t bytes = 0;
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 10; ++i) {
            std::vector<member> members;
            queue.take(1000, 10, start + std::chrono::seconds(second), members);
            if (second == 0 && i == 0) {
                EXPECT_EQ(members.front().host, "h499");
            }
            for (const member& value : members) {
                bytes += estimated_size(value);
            }
        }
    }
    EXPECT_LE(bytes, 3000U + 9U * 1000U);
    EXPECT_GT(bytes, 11000U);
}

class target_directory_builder_test : public ::testing::Test {
protected:
    bool update(member_state state, target_state target, std::uint64_t process, common::steady_time now) {
        member value{"h", "a", {}, {}, process << 16U};
        value.state = state;
        value.target = {"desk", {}, 6, target};
        return view.update(std::make_shared<const member>(value), now, now);
    }

    target_list list() { return view.directory()->targets_of("desk"); }

    target_directory_builder view{2min};
};

// Guards the at-most-once execution of keyed calls: a call that started on the lost process must not be
// placed on the new process, whose table of idempotency keys is empty.
TEST_F(target_directory_builder_test, a_restarted_target_has_the_loss_time_of_its_previous_process) {
    update(member_state::alive, target_state::ready, 1, start);
    update(member_state::alive, target_state::ready, 2, start + 10s);
    ASSERT_EQ(list().size(), 1U);
    EXPECT_EQ(list()[0].first_seen, start + 10s);
    EXPECT_EQ(list()[0].state, target_state::ready);
    EXPECT_EQ(list()[0].lost_since, start + 10s - 1us);
    EXPECT_FALSE(view.expire(start + 2min));
    EXPECT_TRUE(view.expire(start + 2min + 10s));
    ASSERT_EQ(list().size(), 1U);
    EXPECT_EQ(list()[0].first_seen, start + 10s);
    EXPECT_FALSE(list()[0].lost_since);
}

// Guards against a target that expires or counts as new after its death was refuted.
TEST_F(target_directory_builder_test, a_refuted_death_restores_the_target_with_its_first_seen_time) {
    update(member_state::alive, target_state::ready, 1, start);
    update(member_state::dead, target_state::ready, 1, start + 10s);
    EXPECT_EQ(list().at(0).lost_since, start + 10s);
    update(member_state::alive, target_state::ready, 1, start + 20s);
    EXPECT_FALSE(list().at(0).lost_since);
    EXPECT_EQ(list().at(0).first_seen, start);
    EXPECT_FALSE(view.expire(start + 10min));
}

// Guards against a target that expires while it drains.
TEST_F(target_directory_builder_test, a_draining_target_stays_listed_until_it_departs) {
    update(member_state::alive, target_state::ready, 1, start);
    update(member_state::alive, target_state::draining, 1, start + 1s);
    view.expire(start + 30min);
    EXPECT_EQ(list().at(0).lost_since, start + 1s);
    update(member_state::alive, target_state::gone, 1, start + 31min);
    view.expire(start + 31min);
    EXPECT_TRUE(list().empty());
}

// Guards against the replacement of both log readers of a domain when only one of them is lost.
TEST(roles, the_loss_of_one_log_reader_keeps_the_other) {
    std::vector<std::string> hosts;
    hosts.reserve(50);
    for (int i = 0; i < 50; ++i) {
        hosts.push_back("h" + std::to_string(i));
    }
    const std::vector<std::string> before = log_readers("a", hosts);
    ASSERT_EQ(before.size(), readers_per_domain);
    std::erase(hosts, before[0]);
    EXPECT_EQ(log_readers("a", hosts)[0], before[1]);
    EXPECT_FALSE(compactor({}));
}

// Guards against readers on slow links: a storm of versions with large documents then fills the link of a
// reader and its domain gets each version seconds late.
TEST(roles, log_readers_are_members_with_fast_links) {
    std::vector<reader_candidate> members;
    members.reserve(20);
    for (int i = 0; i < 20; ++i) {
        members.push_back({"h" + std::to_string(i), i % 7 == 0 ? 140U : 7U});
    }
    const std::vector<std::string> chosen = log_readers("a", members);
    ASSERT_EQ(chosen.size(), readers_per_domain);
    for (const std::string& host : chosen) {
        EXPECT_TRUE(host == "h0" || host == "h7" || host == "h14") << host;
    }
    // One fast member is left.
    std::erase_if(members, [](const reader_candidate& member) {
        return member.link_megabits == 140 && member.host != "h7";
    });
    const std::vector<std::string> fewer = log_readers("a", members);
    ASSERT_EQ(fewer.size(), readers_per_domain);
    EXPECT_EQ(fewer[0], "h7");
    EXPECT_NE(fewer[1], "h7");
}

} // namespace
} // namespace boragehollow::membership
