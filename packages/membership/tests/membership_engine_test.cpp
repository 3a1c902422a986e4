#include "simulated_network.hpp"

#include "boragehollow/membership/roles.hpp"

#include <gtest/gtest.h>

namespace boragehollow::membership::testing {
namespace {

using namespace std::chrono_literals;

bool all_see(simulated_network& net, std::size_t live) {
    for (simulated_network::node* observer : net.running()) {
        if (observer->engine->counts().alive != live) {
            return false;
        }
    }
    return true;
}

bool all_see_state(simulated_network& net, const std::string& host, member_state state) {
    for (simulated_network::node* observer : net.running()) {
        const member_ref seen = observer->engine->find(host);
        if (!seen || seen->state != state) {
            return false;
        }
    }
    return true;
}

bool all_see_target(simulated_network& net, const std::string& host, target_state state) {
    for (simulated_network::node* observer : net.running()) {
        const member_ref seen = observer->engine->find(host);
        if (!seen || seen->target.state != state) {
            return false;
        }
    }
    return true;
}

target_announcement with_state(const member& value, target_state state) {
    target_announcement announcement = value.target;
    announcement.state = state;
    return announcement;
}

void expect_joined(simulated_network& net, std::size_t members) {
    EXPECT_LT(net.run_until([&] { return all_see(net, members); }, 60s), 60s);
}

// Guards against members that do not discover each other when they all start with the same seed.
TEST(membership_engine, members_of_a_domain_discover_each_other_through_one_seed) {
    simulated_network net(1);
    net.start_domain("a", 50);
    const auto taken = net.run_until([&] { return all_see(net, 50); }, 30s);
    EXPECT_LT(taken, 10s);
    net.run_for(30s);
    EXPECT_EQ(net.events_of(member_event_kind::suspected), 0U);
}

// Guards against a daemon that finds the mesh and then waits a second for the targets, during which it serves
// no call: its first attempt to synchronize came before it had found anyone.
TEST(membership_engine, a_daemon_that_finds_the_mesh_late_gets_the_targets_at_once) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        simulated_network net(seed);
        net.start_domain("a", 20);
        expect_joined(net, 20);
        simulated_network::node& late = net.start("late", "a");
        net.run_for(1'200ms);
        net.perform(late, late.engine->add_seeds({net.at("a-3").address, net.at("a-7").address}, net.now()));
        EXPECT_LT(net.run_until([&] { return late.engine->has_whole_table(); }, 5s), 300ms);
    }
}

// Guards against daemons of several domains that start together with the same list of seeds but form separate
// meshes for half a minute.
TEST(membership_engine, daemons_that_start_together_form_one_mesh) {
    std::vector<common::endpoint> seeds;
    for (const std::uint16_t first : {0, 4, 8}) {
        for (const std::uint16_t index : {first, static_cast<std::uint16_t>(first + 1)}) {
            // The network assigns the addresses in the order of the starts.
            seeds.push_back(
                {"10.0." + std::to_string(index) + ".4", static_cast<std::uint16_t>(1001 + index)});
        }
    }
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        simulated_network net(seed);
        for (const std::string domain : {"a", "b", "c"}) {
            for (int i = 0; i < 4; ++i) {
                net.start(domain + "-" + std::to_string(i), domain, seeds);
            }
        }
        EXPECT_LT(net.run_until([&] { return all_see(net, 12); }, 60s), 10s) << "seed " << seed;
    }
}

// Guards against groups that stay separate after a simultaneous start: the members of a group find each other
// first, and a group that did not ping unknown seeds took half a minute to find the others.
TEST(membership_engine, groups_that_start_together_merge_within_ten_seconds) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        simulated_network net(seed);
        std::vector<common::endpoint> seeds;
        for (const char* domain : {"a", "b", "c"}) {
            for (int index = 1; index <= 3; ++index) {
                const std::string host = std::string(domain) + std::to_string(index);
                const auto& node = net.start(host, domain, seeds);
                if (index <= 2) {
                    seeds.push_back(node.address);
                }
            }
        }
        const auto everyone_knows_all = [&] {
            for (const simulated_network::node* node : net.running()) {
                if (node->engine->counts().alive != 9) {
                    return false;
                }
            }
            return true;
        };
        EXPECT_LT(net.run_until(everyone_knows_all, 30s), 10s) << "seed " << seed;
    }
}

// Guards against a dead member that stays listed as alive; the design expects the whole domain to know of a
// death after about 4 s.
TEST(membership_engine, a_dead_member_is_detected) {
    simulated_network net(2);
    net.start_domain("a", 50);
    expect_joined(net, 50);
    net.kill("a-7");
    const auto first = net.run_until([&] { return net.events_of(member_event_kind::died) > 0; }, 20s);
    const auto rest = net.run_until([&] { return all_see_state(net, "a-7", member_state::dead); }, 20s);
    std::printf("domain of 50: first declares dead after %ld ms, all know %ld ms later\n",
                static_cast<long>(first.count()), static_cast<long>(rest.count()));
    EXPECT_LT(first + rest, 6s);
}

// Guards against live members that are declared dead because datagrams are lost.
TEST(membership_engine, lost_datagrams_declare_no_live_member_dead) {
    for (std::uint64_t seed = 100; seed < 110; ++seed) {
        simulated_network net(seed);
        net.start_domain("a", 40);
        expect_joined(net, 40);
        net.loss = 0.10;
        net.run_for(300s);
        EXPECT_EQ(net.events_of(member_event_kind::died), 0U) << "seed " << seed;
    }
}

// Guards against a suspicion that the suspected member cannot overrule.
TEST(membership_engine, a_false_suspicion_is_refuted) {
    simulated_network net(4);
    net.start_domain("a", 10);
    expect_joined(net, 10);
    member suspected = net.at("a-3").engine->self();
    const std::uint64_t before = suspected.incarnation;
    suspected.state = member_state::suspect;
    const datagram gossip_message{"a-1", progress_report{}, {suspected}};
    net.perform(net.at("a-2"),
                net.at("a-2").engine->receive(gossip_message, net.at("a-1").address, net.now()));
    const auto refuted = [&] {
        const bool raised = net.at("a-3").engine->self().incarnation > before;
        return raised && all_see_state(net, "a-3", member_state::alive);
    };
    EXPECT_LT(net.run_until(refuted, 10s), 5s);
    EXPECT_TRUE(same_process(before, net.at("a-3").engine->self().incarnation));
    EXPECT_EQ(net.events_of(member_event_kind::died), 0U);
}

// Guards against a paused daemon that stays dead for the others after it resumes, or declares them dead.
TEST(membership_engine, a_resumed_member_is_alive_and_declares_no_one_dead) {
    simulated_network net(5);
    net.start_domain("a", 20);
    expect_joined(net, 20);
    const std::uint64_t before = net.at("a-4").engine->self().incarnation;
    net.pause("a-4");
    net.run_for(60s);
    EXPECT_EQ(net.in_state("a-0", member_state::dead), std::set<std::string>{"a-4"});
    const std::size_t deaths = net.events_of(member_event_kind::died);
    net.resume("a-4");
    EXPECT_LT(net.run_until([&] { return all_see(net, 20); }, 30s), 10s);
    EXPECT_GT(net.at("a-4").engine->self().incarnation, before);
    net.run_for(30s);
    EXPECT_EQ(net.events_of(member_event_kind::died), deaths);
    EXPECT_TRUE(all_see(net, 20));
}

// Guards against a restarted host that is listed with its previous address.
TEST(membership_engine, a_host_restarts_under_the_same_name_with_another_address) {
    simulated_network net(6);
    net.start_domain("a", 20);
    expect_joined(net, 20);
    net.kill("a-9");
    net.run_for(1s);
    const common::endpoint address = net.start("a-9", "a", {net.at("a-0").address}).address;
    const auto replaced = [&] {
        for (simulated_network::node* observer : net.running()) {
            const member_ref seen = observer->engine->find("a-9");
            if (!seen || seen->gossip != address || seen->state != member_state::alive) {
                return false;
            }
        }
        return true;
    };
    EXPECT_LT(net.run_until(replaced, 30s), 10s);
    net.run_for(30s);
    EXPECT_TRUE(replaced());
}

// Guards against member tables that do not converge after many simultaneous deaths and restarts.
TEST(membership_engine, tables_converge_when_a_third_of_the_members_dies_and_restarts_at_once) {
    simulated_network net(7);
    net.start_domain("a", 60);
    expect_joined(net, 60);
    for (int i = 1; i <= 20; ++i) {
        net.kill("a-" + std::to_string(i));
    }
    const auto detection_time = net.run_until([&] { return all_see(net, 40); }, 60s);
    for (int i = 1; i <= 20; ++i) {
        net.start("a-" + std::to_string(i), "a", {net.at("a-0").address});
    }
    const auto restart_time = net.run_until([&] { return all_see(net, 60); }, 60s);
    std::printf("20 of 60: all dead known after %ld ms, all restarts known after %ld ms\n",
                static_cast<long>(detection_time.count()), static_cast<long>(restart_time.count()));
    EXPECT_LT(detection_time, 15s);
    EXPECT_LT(restart_time, 15s);
}

// Guards against a domain that declares the members of another domain dead while a partition separates them.
TEST(membership_engine, a_partition_between_domains_causes_no_deaths_and_heals) {
    simulated_network net(8);
    net.start_domain("a", 20);
    net.start_domain("b", 20);
    for (int i = 0; i < 20; ++i) {
        net.kill("b-" + std::to_string(i));
        net.start("b-" + std::to_string(i), "b", {net.at("a-0").address});
    }
    expect_joined(net, 40);
    net.blocked = [](const simulated_network::node& from, const simulated_network::node& to) {
        return from.domain != to.domain;
    };
    net.run_for(10s);
    net.kill("b-3");
    net.run_for(600s);
    EXPECT_EQ(net.in_state("b-0", member_state::dead), std::set<std::string>{"b-3"});
    EXPECT_TRUE(net.in_state("a-0", member_state::dead).empty());
    EXPECT_TRUE(net.in_state("a-0", member_state::suspect).empty());
    net.blocked = [](const simulated_network::node&, const simulated_network::node&) { return false; };
    const auto healing_time =
        net.run_until([&] { return all_see_state(net, "b-3", member_state::dead); }, 120s);
    std::printf("two domains of 20: a death during the partition is known %ld ms after it heals\n",
                static_cast<long>(healing_time.count()));
    EXPECT_LT(healing_time, 60s);
}

// Guards against two halves of one domain that stay separate after a partition: both have declared each other
// dead.
TEST(membership_engine, a_partition_inside_a_domain_heals) {
    simulated_network net(9);
    net.start_domain("a", 20);
    expect_joined(net, 20);
    const auto half_of = [](const simulated_network::node& item) { return item.address.port % 2; };
    net.blocked = [&](const simulated_network::node& from, const simulated_network::node& to) {
        return half_of(from) != half_of(to);
    };
    net.run_for(120s);
    EXPECT_EQ(net.at("a-0").engine->counts().alive, 10U);
    net.blocked = [](const simulated_network::node&, const simulated_network::node&) { return false; };
    EXPECT_LT(net.run_until([&] { return all_see(net, 20); }, 120s), 60s);
}

std::chrono::milliseconds drain_time(std::size_t members, std::uint64_t seed) {
    simulated_network net(seed);
    net.start_domain("a", members);
    expect_joined(net, members);
    net.run_for(30s);
    simulated_network::node& leaving = net.at("a-5");
    const auto announcement = with_state(leaving.engine->self(), target_state::draining);
    net.perform(leaving, leaving.engine->announce_local_target(announcement, net.now()));
    return net.run_until([&] { return all_see_target(net, "a-5", target_state::draining); }, 30s);
}

// Guards the guarantee that a draining target receives no new work 3 s after its announcement.
TEST(membership_engine, a_drain_announcement_spreads_within_three_seconds) {
    for (std::uint64_t seed = 10; seed < 30; ++seed) {
        EXPECT_LT(drain_time(50, seed), 3s) << "seed " << seed;
    }
    std::printf("drain announcement in a domain of 733: %ld ms\n",
                static_cast<long>(drain_time(733, 30).count()));
}

// Guards against the announcement of a leaving member getting lost when its process ends right afterwards.
TEST(membership_engine, a_leaving_member_is_known_as_left_within_three_seconds) {
    simulated_network net(31);
    net.start_domain("a", 50);
    expect_joined(net, 50);
    simulated_network::node& leaving = net.at("a-5");
    net.perform(leaving, leaving.engine->leave(net.now()));
    net.kill("a-5");
    EXPECT_LT(net.run_until([&] { return all_see_state(net, "a-5", member_state::left); }, 10s), 3s);
    EXPECT_EQ(net.events_of(member_event_kind::died), 0U);
}

// Guards the guarantee that a host never serves an older version than before: its version floor must not be
// removed when the host dies, but only after the retention time of 24 h.
TEST(membership_engine, version_floors_are_kept_after_the_host_dies) {
    simulated_network net(32);
    net.start_domain("a", 10);
    expect_joined(net, 10);
    net.perform(net.at("a-6"), net.at("a-6").engine->set_applied_version({42}, net.now()));
    net.run_for(30s);
    net.kill("a-6");
    net.run_for(std::chrono::hours(2));
    std::size_t observers_with_floor = 0;
    for (simulated_network::node* observer : net.running()) {
        observers_with_floor += observer->engine->floor("a-6") == common::revision{42} ? 1 : 0;
    }
    EXPECT_EQ(observers_with_floor, 9U);
    net.run_for(std::chrono::hours(23));
    EXPECT_EQ(net.at("a-0").engine->floor("a-6"), common::revision{});
}

// Guards against an outdated count of the members that have applied a change: an accepted change is
// guaranteed to be applied everywhere within 11 s, so its progress has to be known by then.
TEST(membership_engine, log_readers_of_a_large_domain_receive_the_progress_of_all_members) {
    simulated_network net(35);
    net.start_domain("a", 200);
    expect_joined(net, 200);
    const std::vector<std::string> readers = log_readers("a", net.at("a-0").engine->live_hosts("a"));
    for (simulated_network::node* item : net.running()) {
        net.perform(*item, item->engine->set_applied_version({7}, net.now()));
    }
    const auto counted = [&] {
        return std::all_of(readers.begin(), readers.end(), [&](const std::string& reader) {
            return net.at(reader).engine->progress({7}).at_or_past == 200;
        });
    };
    EXPECT_LT(net.run_until(counted, 30s), 5s);
}

/// Applies `version` on `first` and on every member that observes it on another member, as daemons do that
/// fetch a version from the sender of a progress report. Returns the time until all members have applied it.
std::chrono::milliseconds disseminate(simulated_network& net, const std::string& first,
                                      common::revision version) {
    std::set<std::string> applied{first};
    net.perform(net.at(first), net.at(first).engine->set_applied_version(version, net.now()));
    const auto forward_version = [&] {
        for (simulated_network::node* observer : net.running()) {
            if (applied.contains(observer->host)) {
                continue;
            }
            const bool observed = std::any_of(applied.begin(), applied.end(), [&](const std::string& host) {
                return observer->engine->floor(host) >= version;
            });
            if (observed) {
                applied.insert(observer->host);
                net.perform(*observer, observer->engine->set_applied_version(version, net.now()));
            }
        }
        return applied.size() == net.running().size();
    };
    return net.run_until(forward_version, 30s);
}

membership_settings version_fan_out_settings() {
    membership_settings settings;
    settings.version_fan_out_of_reader = 64;
    settings.version_fan_out = 3;
    return settings;
}

// Guards against a new version that other daemons than the log readers learn of only by regular pings.
TEST(membership_engine, a_log_reader_notifies_its_domain_of_a_version_at_once) {
    for (const std::uint64_t seed : {41, 42, 43}) {
        simulated_network net(seed, version_fan_out_settings());
        net.start_domain("a", 40);
        expect_joined(net, 40);
        net.loss = 0.05;
        const std::string reader = log_readers("a", net.at("a-0").engine->live_hosts("a")).front();
        EXPECT_LT(disseminate(net, reader, {7}), 300ms) << seed;
    }
}

// Guards against a domain that lacks a version for seconds because the platform refuses the requests of both
// of its log readers.
TEST(membership_engine, a_version_reaches_a_domain_whose_readers_do_not_have_it) {
    for (const std::uint64_t seed : {51, 52, 53, 54, 55}) {
        simulated_network net(seed, version_fan_out_settings());
        const common::endpoint seed_address = net.start("a-0", "a").address;
        for (int i = 1; i < 54; ++i) {
            const std::string domain(1, static_cast<char>('a' + i % 3));
            net.start(domain + "-" + std::to_string(i), domain, {seed_address});
        }
        ASSERT_LT(net.run_until([&] { return all_see(net, 54); }, 60s), 60s) << seed;
        net.loss = 0.05;
        const std::string reader = log_readers("a", net.at("a-0").engine->live_hosts("a")).front();
        EXPECT_LT(disseminate(net, reader, {9}), 1s) << seed;
    }
}

// Guards against a restarted daemon that stays dead: when the wall clock was set back, the new process has a
// lower incarnation than the tombstone of the previous one.
TEST(membership_engine, a_tombstone_with_a_higher_incarnation_is_overruled) {
    simulated_network net(33);
    net.start_domain("a", 5);
    expect_joined(net, 5);
    member old = net.at("a-2").engine->self();
    old.incarnation += std::uint64_t{5000} << 16U;
    old.state = member_state::dead;
    const datagram gossip_message{"a-1", progress_report{}, {old}};
    net.perform(net.at("a-3"),
                net.at("a-3").engine->receive(gossip_message, net.at("a-1").address, net.now()));
    EXPECT_LT(net.run_until([&] { return net.at("a-2").engine->self().incarnation > old.incarnation; }, 20s),
              10s);
    EXPECT_LT(net.run_until([&] { return all_see(net, 5); }, 20s), 10s);
    EXPECT_FALSE(same_process(old.incarnation, net.at("a-2").engine->self().incarnation));
}

// Guards against an announcement that fits into no datagram and is never disseminated.
TEST(membership_engine, refuses_an_announcement_that_exceeds_the_size_budget) {
    simulated_network net(34);
    simulated_network::node& only = net.start("a-0", "a");
    target_announcement large = only.engine->self().target;
    large.labels["note"] = std::string(900, 'x');
    const membership_effects effects = only.engine->announce_local_target(large, net.now());
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<member_event>(effects.front()).kind, member_event_kind::announcement_refused);
    EXPECT_TRUE(only.engine->self().target.labels.contains("version"));
}

} // namespace
} // namespace boragehollow::membership::testing
