#include "simulated_network.hpp"

#include <gtest/gtest.h>

#include <cstdio>

namespace boragehollow::spreading {
namespace {

using namespace std::chrono_literals;

/// Guaranteed time within which all daemons apply an accepted change.
constexpr milliseconds convergence_target{11'000};

void start_all(simulated_network& net) {
    for (std::size_t i = 0; i < net.nodes.size(); ++i) {
        net.start(i);
    }
    net.update_views();
    net.run_for(30s);
    ASSERT_TRUE(net.converged());
}

struct size_and_deaths {
    std::size_t per_domain;
    std::size_t dead;
};

class convergence : public testing::TestWithParam<size_and_deaths> {};

// Guards the guarantee that all daemons apply a change within 11 s, also when daemons die at the time of the
// change: the others push to them and wait for their replies until membership detects the deaths after 4 s.
TEST_P(convergence, reaches_every_daemon_within_the_target) {
    const auto [per_domain, dead] = GetParam();
    constexpr milliseconds change_interval(6'646); // 13,000 changes a day
    constexpr milliseconds detection(4'000);
    constexpr int changes = 20;
    simulated_network net(2, per_domain, 7);
    common::random_source random(17);
    start_all(net);
    milliseconds max_convergence{0};
    std::uint64_t bytes = 0;
    std::uint64_t push_bytes = 0;
    for (int change = 0; change < changes; ++change) {
        std::set<std::size_t> stopped;
        while (stopped.size() < 2 * dead) {
            stopped.insert(random.index(net.nodes.size()));
        }
        for (const std::size_t stopped_index : stopped) {
            net.stop(stopped_index);
        }
        net.stats.bytes = net.stats.push_bytes = 0;
        net.append(600);
        net.run_for(detection);
        net.update_views();
        net.run_for(change_interval - detection);
        bytes += net.stats.bytes;
        push_bytes += net.stats.push_bytes;
        net.run_for(convergence_target - change_interval);
        ASSERT_TRUE(net.convergence().has_value()) << "change " << change;
        max_convergence = std::max(max_convergence, *net.convergence());
        for (const std::size_t stopped_index : stopped) {
            net.start(stopped_index);
        }
        net.update_views();
        net.run_for(10s);
    }
    EXPECT_EQ(net.stats.consistency_violations, 0U);
    const std::uint64_t shares = changes * 2 * (per_domain - dead);
    std::printf(
        "daemons a domain %zu, dead %zu: worst convergence %lld ms; bytes sent a change and daemon: push "
        "%llu, all %llu\n",
        per_domain, dead, static_cast<long long>(max_convergence.count()),
        static_cast<unsigned long long>(push_bytes / shares),
        static_cast<unsigned long long>(bytes / shares));
}

INSTANTIATE_TEST_SUITE_P(sizes, convergence,
                         testing::Values(size_and_deaths{48, 0}, size_and_deaths{48, 1},
                                         size_and_deaths{48, 16}, size_and_deaths{733, 0},
                                         size_and_deaths{733, 1}, size_and_deaths{733, 244}));

// Guards against gaps that remain when messages are lost or overtake each other: pulls have to fetch the
// records that pushes did not deliver.
TEST(simulated_network, burst_with_a_tenth_of_the_messages_lost_converges) {
    simulated_network net(2, 48, 11);
    start_all(net);
    net.loss = 0.1;
    for (int i = 0; i < 300; ++i) {
        net.append(600);
        net.run_for(3ms);
    }
    net.run_for(convergence_target);
    EXPECT_TRUE(net.converged());
    EXPECT_EQ(net.stats.consistency_violations, 0U);
}

// Guards against a burst of platform reads and snapshot transfers when a third of the daemons restarts at
// once after records have expired.
TEST(simulated_network, simultaneous_restarts_cause_a_limited_number_of_reads_and_transfers) {
    simulated_network net(1, 733, 3);
    start_all(net);
    for (int i = 0; i < 1'500; ++i) {
        net.append(200);
        net.run_for(5ms);
    }
    net.run_for(70s); // the compactor appends its snapshot
    ASSERT_TRUE(net.converged());
    net.first_retained = revision{1'400};
    for (std::size_t i = 0; i < 244; ++i) {
        net.stop(i);
    }
    net.update_views();
    net.run_for(10s);
    net.stats = {};
    for (std::size_t i = 0; i < 244; ++i) {
        net.start(i);
    }
    net.update_views();
    net.run_for(convergence_target);
    EXPECT_TRUE(net.converged());
    EXPECT_EQ(net.stats.consistency_violations, 0U);
    EXPECT_LE(net.stats.max_concurrent_transfers, 8U);
    EXPECT_LE(net.stats.snapshot_replies, 2U * 244U);
    EXPECT_LE(net.stats.platform_reads + net.stats.platform_snapshots, 10U);
    std::printf(
        "restart of 244 among 733: platform reads %llu, platform snapshots %llu, snapshot transfers %llu, "
        "most at once on one daemon %zu\n",
        static_cast<unsigned long long>(net.stats.platform_reads),
        static_cast<unsigned long long>(net.stats.platform_snapshots),
        static_cast<unsigned long long>(net.stats.snapshot_replies), net.stats.max_concurrent_transfers);
}

// Guards the guarantee that a host never serves an older version than before, while the platform is down:
// restarted daemons serve again only after a reply of a ready peer.
TEST(simulated_network, daemons_restarted_while_the_platform_is_down_wait_for_ready_peers) {
    simulated_network net(2, 12, 5);
    start_all(net);
    net.append(600);
    net.run_for(5s);
    net.platform_up = false;
    for (std::size_t i = 0; i < 12; ++i) { // the whole first domain
        net.stop(i);
        net.start(i);
    }
    net.update_views();
    net.run_for(convergence_target);
    EXPECT_TRUE(net.converged()) << "the other domain is ready";
    for (std::size_t i = 0; i < net.nodes.size(); ++i) {
        net.stop(i);
        net.start(i);
    }
    net.update_views();
    net.run_for(60s);
    EXPECT_EQ(net.count([](const simulated_network::node& n) { return n.engine->ready(); }), 0U);
    net.platform_up = true;
    net.run_for(convergence_target);
    EXPECT_TRUE(net.converged());
    EXPECT_EQ(net.stats.consistency_violations, 0U);
}

// Guards against a domain that loses its version, or does not catch up, after a time without the platform and
// the other domains.
TEST(simulated_network, partitioned_domain_keeps_its_version_and_catches_up) {
    simulated_network net(3, 24, 9);
    start_all(net);
    net.append(600);
    net.run_for(5s);
    net.partitioned_domains.insert("d1");
    for (int i = 0; i < 1'200; ++i) { // more than a daemon retains for its peers
        net.append(200);
        net.run_for(20ms);
    }
    EXPECT_EQ(net.count([](const simulated_network::node& n) {
        return n.domain == "d1" && n.applied == revision{1} && n.engine->ready();
    }),
              24U);
    net.partitioned_domains.clear();
    net.run_for(convergence_target);
    EXPECT_TRUE(net.converged());
    EXPECT_EQ(net.stats.consistency_violations, 0U);
}

// Guards against a domain that does not receive changes when it can reach other domains but not the platform.
TEST(simulated_network, domain_without_the_platform_receives_changes_from_other_domains) {
    simulated_network net(2, 24, 13);
    start_all(net);
    for (std::size_t i = 0; i < 24; ++i) {
        net.nodes[i].reads_platform = false;
    }
    for (int i = 0; i < 10; ++i) {
        net.append(600);
        net.run_for(convergence_target);
        ASSERT_TRUE(net.converged());
    }
}

} // namespace
} // namespace boragehollow::spreading
