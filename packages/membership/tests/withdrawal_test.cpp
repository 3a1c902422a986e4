#include "boragehollow/membership/withdrawal_records.hpp"
#include "simulated_network.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

// Withdrawn instances of a target that other daemons keep for a restart of its daemon.
namespace boragehollow::membership {
namespace {

using namespace std::chrono_literals;
using ::testing::Contains;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using testing::simulated_network;

common::withdrawn_instance departed(const std::string& id, std::uint64_t incarnation) {
    return {.id = id, .incarnation = incarnation, .ended = true};
}

void withdraw(simulated_network& network, const std::string& host,
              const std::vector<common::withdrawn_instance>& withdrawn) {
    simulated_network::node& node = network.at(host);
    network.perform(node, node.engine->set_withdrawn(withdrawn, network.now()));
}

// Guards against a departure that nobody remembers after its daemon was killed while the platform was away
// (review case 9). The new process hears of it from any daemon that it meets, and again after the next
// restart.
TEST(withdrawal, new_process_is_told_what_the_previous_one_withdrew) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        simulated_network network(seed);
        network.start_domain("z1", 6);
        network.run_for(5s);
        withdraw(network, "z1-2", {departed("i-1", 10)});
        network.run_for(300ms);
        for (int restart = 0; restart < 2; ++restart) {
            network.kill("z1-2");
            network.run_for(600ms);
            network.start("z1-2", "z1", {network.at("z1-0").address});
            network.run_until([&] { return !network.at("z1-2").told.empty(); }, 10s);
            EXPECT_THAT(network.at("z1-2").told, Contains(departed("i-1", 10))) << seed;
        }
    }
}

// Guards against a keeper that confirms an entry which it does not hold.
TEST(withdrawal, keeper_replies_with_its_entry_if_it_is_another_one) {
    simulated_network network(1);
    network.start_domain("z1", 2);
    network.run_for(3s);
    membership_engine& leaving = *network.at("z1-0").engine;
    membership_engine& keeper = *network.at("z1-1").engine;
    leaving.set_withdrawn({departed("i-1", 10)}, network.now());
    EXPECT_THAT(keeper.handle_sync_request(leaving.own_entry(), network.now()).reply.members, IsEmpty());

    const sync_request outdated = leaving.own_entry();
    leaving.set_withdrawn({departed("i-2", 20)}, network.now());
    keeper.handle_sync_request(leaving.own_entry(), network.now());
    const auto reply = keeper.handle_sync_request(outdated, network.now()).reply;
    ASSERT_EQ(reply.members.size(), 1U);
    EXPECT_THAT(reply.members.front()->withdrawn, ElementsAre(departed("i-2", 20)));
}

// Guards against keepers of one failure domain only, which may end together.
TEST(withdrawal, keepers_are_in_the_own_and_in_another_failure_domain) {
    simulated_network network(1);
    network.start_domain("z2", 3);
    const common::endpoint seed = network.start("z1-0", "z1", {network.at("z2-0").address}).address;
    network.start("z1-1", "z1", {seed});
    network.run_until([&] { return network.at("z1-1").engine->failure_domains().size() == 2; }, 30s);
    std::vector<std::string> domains;
    for (const member_ref& keeper : network.at("z1-1").engine->pick_keepers()) {
        EXPECT_NE(keeper->host, "z1-1");
        domains.push_back(keeper->failure_domain);
    }
    EXPECT_THAT(domains, ElementsAre("z1", "z2"));
}

// Guards against an entry that fits into no datagram, so that nobody hears of the drain.
TEST(withdrawal, entry_holds_only_what_fits) {
    membership_engine engine({"h", "z1", {"10.0.0.1", 1}, {"10.0.0.1", 2}, 1}, {}, {},
                             common::random_source(1), {});
    engine.set_withdrawn({departed("i-1", 1), departed("i-2", 2), departed("i-3", 3)}, {});
    EXPECT_THAT(engine.self().withdrawn, ElementsAre(departed("i-2", 2), departed("i-3", 3)));
    engine.set_withdrawn({departed("i-1", 1), departed(std::string(2'000, 'x'), 2)}, {});
    EXPECT_THAT(engine.self().withdrawn, IsEmpty());
}

// Guards against records that grow with each restart of a host, and that are kept without end.
TEST(withdrawal, records_are_bounded) {
    withdrawal_records records;
    const common::steady_time start{};
    for (int i = 0; i < 40; ++i) {
        records.record("h", {departed("i-" + std::to_string(i), 1)}, start);
    }
    EXPECT_EQ(records.of_host("h").size(), 8U);
    EXPECT_THAT(records.of_host("h"), Contains(departed("i-39", 1)));
    records.record("h", {departed("i-39", 2)}, start);
    EXPECT_EQ(records.of_host("h").size(), 8U);
    EXPECT_THAT(records.of_host("h"), Contains(departed("i-39", 2)));
    records.expire(start + withdrawal_records::retention);
    EXPECT_THAT(records.of_host("h"), IsEmpty());
}

} // namespace
} // namespace boragehollow::membership
