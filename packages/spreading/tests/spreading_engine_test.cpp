#include "boragehollow/spreading/spreading_engine.hpp"

#include <gtest/gtest.h>

namespace boragehollow::spreading {
namespace {

using namespace std::chrono_literals;

constexpr steady_time start{std::chrono::hours(1)};

log_record record(std::uint64_t offset, std::size_t bytes = 10) {
    return {revision{offset}, std::make_shared<const std::string>(bytes, 'x')};
}

std::vector<log_record> records(std::uint64_t first, std::uint64_t last, std::size_t bytes = 10) {
    std::vector<log_record> made;
    for (std::uint64_t offset = first; offset <= last; ++offset) {
        made.push_back(record(offset, bytes));
    }
    return made;
}

template <class Effect>
const Effect* find(const effects& list) {
    for (const effect& each : list) {
        if (const auto* found = std::get_if<Effect>(&each)) {
            return found;
        }
    }
    return nullptr;
}

struct fixture : testing::Test {
    spreading_engine engine{{.host = "self"}, common::random_source(1), start};

    void join(bool reader = false) {
        engine.members_changed({{"a", "b", "c", "d", "e"}, {"far"}, {"a"}, reader, reader}, start);
    }
    void make_ready(std::uint64_t version) {
        engine.records_read(records(1, version), start);
        engine.applied(revision{version}, 1, start);
        engine.log_end_reached({revision{1}, revision{version + 1}}, start);
        ASSERT_TRUE(engine.ready());
    }
    pull next_pull(steady_time now) {
        const effects out = engine.tick(now);
        const pull* found = find<pull>(out);
        return found != nullptr ? *found : pull{};
    }
};

using spreading_engine_test = fixture;

// Guards the guarantee that a host never serves an older version than before: a ready peer with an outdated
// state must not make a restarted daemon ready below its version floor, and its snapshot must not replace a
// newer state.
TEST_F(spreading_engine_test, outdated_peer_snapshot_does_not_make_the_daemon_ready) {
    join();
    const pull first = next_pull(start + 1s);
    EXPECT_EQ(first.peer, "a") << "a log reader knows the floors of its domain";
    EXPECT_EQ(first.request.floor_of_host, "self");
    const encoded_snapshot old{revision{8}, 7, std::make_shared<const std::string>("s")};
    effects out = engine.pull_replied(first.id, "a", {old, revision{8}, 7, true, revision{10}}, start + 1s);
    EXPECT_NE(find<apply_snapshot>(out), nullptr);
    EXPECT_EQ(find<readiness_changed>(engine.applied(revision{8}, 7, start + 1s)), nullptr);
    out = engine.push_received("b", records(9, 10), start + 1s);
    ASSERT_NE(find<apply_records>(out), nullptr);
    EXPECT_NE(find<readiness_changed>(engine.applied(revision{10}, 9, start + 1s)), nullptr);
    EXPECT_EQ(find<apply_snapshot>(engine.pull_replied(99, "b", {old, revision{8}, 7, true, {}}, start + 1s)),
              nullptr);
}

// Guards the guarantee that a host never serves an older version than before: without the platform or a ready
// peer a restarted daemon does not know which version it served.
TEST_F(spreading_engine_test, is_not_ready_without_the_platform_or_a_ready_peer) {
    join();
    for (int i = 0; i < 100; ++i) {
        const steady_time now = start + i * 2s;
        const pull out = next_pull(now);
        engine.pull_replied(out.id, out.peer, {nothing_newer{}, revision{3}, 1, false, {}}, now);
    }
    EXPECT_FALSE(engine.ready());
}

// Guards against a group of restarting daemons that all read from the platform, because each of them knows no
// other member before it has joined the mesh.
TEST_F(spreading_engine_test, isolated_daemon_takes_the_reader_role_after_a_delay) {
    EXPECT_EQ(find<log_reading_changed>(engine.members_changed({{}, {}, {}, true, true}, start)), nullptr);
    EXPECT_LE(engine.next_wakeup(), start + 3s);
    EXPECT_NE(find<log_reading_changed>(engine.tick(start + 3s)), nullptr);
}

// Guards against records that circulate between daemons.
TEST_F(spreading_engine_test, forwards_a_record_once_and_not_to_its_sender) {
    join();
    const effects out = engine.push_received("a", records(1, 1), start);
    const push* forwarded = find<push>(out);
    ASSERT_NE(forwarded, nullptr);
    EXPECT_EQ(forwarded->peers.size(), 4U);
    EXPECT_EQ(std::count(forwarded->peers.begin(), forwarded->peers.end(), "a"), 0);
    EXPECT_EQ(find<push>(engine.push_received("b", records(1, 1), start + 1s)), nullptr);
}

// Guards against one message for each record and peer in a burst of several hundred records a second.
TEST_F(spreading_engine_test, sends_a_burst_in_one_push) {
    join();
    engine.push_received("a", records(1, 1), start);
    for (std::uint64_t offset = 2; offset < 50; ++offset) {
        EXPECT_EQ(find<push>(engine.push_received("a", records(offset, offset), start + 1ms)), nullptr);
    }
    EXPECT_LE(engine.next_wakeup(), start + 10ms);
    const effects out = engine.tick(start + 10ms);
    ASSERT_NE(find<push>(out), nullptr);
    EXPECT_EQ(find<push>(out)->records.size(), 48U);
}

// Guards against pull replies of unlimited size, and against too many snapshot transfers at once.
TEST_F(spreading_engine_test, limits_pull_replies_and_snapshot_transfers) {
    join(true);
    make_ready(1'500);
    engine.records_read(records(1'501, 1'520, 200'000), start);
    engine.applied(revision{1'520}, 5, start);
    const effects bounded = engine.pull_received(1, {"a", revision{1'510}, 0, {}}, start);
    EXPECT_LE(std::get<newer_records>(find<send_pull_reply>(bounded)->content.body).records.size(), 5U);
    for (std::uint64_t ticket = 2; ticket < 10; ++ticket) {
        const effects out = engine.pull_received(ticket, {"b", revision{0}, 0, {}}, start);
        EXPECT_EQ(std::get<encoded_snapshot>(find<send_pull_reply>(out)->content.body).version,
                  revision{1'520});
    }
    const pull_request late{"c", revision{0}, 0, "c"};
    EXPECT_TRUE(std::holds_alternative<retry_later>(
        find<send_pull_reply>(engine.pull_received(10, late, start))->content.body));
    engine.pull_reply_sent(2);
    EXPECT_TRUE(std::holds_alternative<encoded_snapshot>(
        find<send_pull_reply>(engine.pull_received(11, late, start))->content.body));
}

// Guards against a starting daemon that waits for records which the platform no longer holds.
TEST_F(spreading_engine_test, expired_records_cause_a_snapshot_request_and_a_new_read) {
    join(true);
    engine.records_read(records(100, 120), start);
    EXPECT_NE(find<request_platform_snapshot>(engine.log_end_reached({revision{100}, revision{121}}, start)),
              nullptr);
    EXPECT_FALSE(engine.ready());
    const effects out =
        engine.snapshot_read({revision{110}, 4, std::make_shared<const std::string>("s")}, start);
    ASSERT_NE(find<apply_records>(out), nullptr);
    EXPECT_EQ(find<apply_records>(out)->records.front().offset, revision{111});
    EXPECT_NE(find<readiness_changed>(engine.applied(revision{120}, 9, start)), nullptr);
}

// Guards against a snapshot that cannot be decoded and blocks the records that other peers still hold.
TEST_F(spreading_engine_test, accepts_records_after_a_snapshot_failed_to_apply) {
    join();
    engine.pull_replied(1, "a", {encoded_snapshot{revision{9}, 1, nullptr}, revision{9}, 1, true, {}}, start);
    engine.apply_failed(start);
    EXPECT_EQ(engine.held_version(), revision{0});
    EXPECT_NE(find<apply_records>(engine.push_received("b", records(1, 9), start)), nullptr);
}

// Guards the guarantee that an accepted change is applied everywhere within 11 s: a daemon that was paused
// must not serve its previous state when it resumes.
TEST_F(spreading_engine_test, pulls_before_it_serves_again_after_a_pause) {
    join(true);
    make_ready(5);
    const effects out = engine.tick(start + 60s);
    ASSERT_NE(find<readiness_changed>(out), nullptr);
    EXPECT_FALSE(engine.ready());
    const pull* requested = find<pull>(out);
    ASSERT_NE(requested, nullptr);
    engine.pull_replied(requested->id, "a", {nothing_newer{}, revision{5}, 1, true, {}}, start + 60s);
    EXPECT_TRUE(engine.ready());
}

// Guards against snapshots that are appended too often or not at all.
TEST_F(spreading_engine_test, compacts_after_a_thousand_records_or_an_hour) {
    join(true);
    make_ready(5);
    steady_time now = start;
    const auto append_in = [&](const effects& out) {
        const auto* due = find<append_snapshot>(out);
        if (due != nullptr) {
            engine.snapshot_appended(due->version, now);
        }
        return due != nullptr ? due->version : revision{};
    };
    const auto append_until = [&](steady_time end) {
        revision appended;
        for (; now < end && appended == revision{}; now += 1s) {
            appended = append_in(engine.tick(now));
        }
        return appended;
    };
    EXPECT_EQ(append_until(start + 59s), revision{0});
    EXPECT_EQ(append_until(start + 70s), revision{5});
    EXPECT_EQ(append_until(start + 3h), revision{0}) << "nothing new to append";
    EXPECT_EQ(append_in(engine.applied(revision{6}, 1, now)), revision{6}) << "older than an hour";
    EXPECT_EQ(append_in(engine.applied(revision{1'006}, 1, now)), revision{0});
    EXPECT_EQ(append_until(now + 10s), revision{0});
    EXPECT_EQ(append_in(engine.applied(revision{1'007}, 1, now)), revision{1'007});
}

// Guards against daemons whose states differ at the same version without a report.
TEST_F(spreading_engine_test, reports_a_digest_that_differs_at_the_same_version) {
    join(true);
    make_ready(5);
    EXPECT_EQ(find<digest_mismatch>(engine.pull_received(1, {"b", revision{5}, 1, {}}, start)), nullptr);
    const effects out = engine.pull_received(2, {"b", revision{5}, 2, {}}, start);
    ASSERT_NE(find<digest_mismatch>(out), nullptr);
    EXPECT_EQ(find<digest_mismatch>(out)->peer, "b");
}

// Guards against a version floor that is removed before a dead host restarts, and against one that is kept
// for more than a day.
TEST_F(spreading_engine_test, replies_with_the_floor_of_the_named_host) {
    engine.version_observed("x", revision{12}, start);
    engine.version_observed("x", revision{3}, start + 1s);
    EXPECT_EQ(find<send_pull_reply>(engine.pull_received(1, {"x", {}, 0, "x"}, start + 2s))->content.floor,
              revision{12});
    engine.tick(start + 25h);
    EXPECT_EQ(engine.floors().size(), 0U);
}

} // namespace
} // namespace boragehollow::spreading
