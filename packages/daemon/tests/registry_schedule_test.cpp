#include "boragehollow/daemon/registry_schedule.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace boragehollow::daemon {
namespace {

using namespace std::chrono_literals;

constexpr common::steady_time start{1h};

/// Daemons that share a registry, in simulated time. A daemon knows others from the moment at which its
/// lookup finds a registered host, or at which another daemon finds it.
class simulated_registry {
public:
    explicit simulated_registry(std::size_t daemons, std::uint64_t seed) : m_random(seed) {
        for (std::size_t i = 0; i < daemons; ++i) {
            start_daemon(start + m_random.jitter(300ms));
        }
    }

    void start_daemon(common::steady_time at) {
        m_daemons.push_back({registry_schedule(common::random_source(m_random.index(1'000'000)), at), at});
    }

    void run_until(common::steady_time end) {
        while (true) {
            const auto next = std::ranges::min_element(m_daemons, {}, &daemon::wake);
            if (next->wake >= end) {
                return;
            }
            step(static_cast<std::size_t>(next - m_daemons.begin()));
        }
    }

    void set_searching(std::size_t index) { m_daemons[index].searches = true; }

    std::size_t lookups = 0;
    std::size_t registrations = 0;
    bool writes_fail = false;

    std::size_t isolated() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_daemons, [](const daemon& each) { return !each.knows_others; }));
    }

private:
    struct daemon {
        registry_schedule schedule;
        common::steady_time wake;
        bool knows_others = false;
        bool searches = false;
    };

    static constexpr std::chrono::milliseconds call_time{5};

    void step(std::size_t index) {
        daemon& self = m_daemons[index];
        const common::steady_time now = self.wake;
        const registry_action action = self.schedule.next({!self.knows_others, self.searches}, now);
        std::visit(
            common::overloaded{[&](const look_up_hosts&) {
                                   ++lookups;
                                   std::size_t visible = 0;
                                   for (const auto& [host, at] : m_registered) {
                                       if (at > now) {
                                           continue;
                                       }
                                       ++visible;
                                       if (host != index) {
                                           self.knows_others = true;
                                           m_daemons[host].knows_others = true;
                                       }
                                   }
                                   self.schedule.lookup_ended(visible, now + call_time);
                                   self.wake = now + call_time;
                               },
                               [&](const register_host&) {
                                   ++registrations;
                                   if (!writes_fail) {
                                       m_registered.emplace(index, now + call_time);
                                   }
                                   self.schedule.registration_ended(!writes_fail, now + call_time);
                                   self.wake = now + call_time;
                               },
                               [&](const wait_before_next& pause) { self.wake = now + pause.duration; }},
            action);
    }

    common::random_source m_random;
    std::vector<daemon> m_daemons;
    std::map<std::size_t, common::steady_time> m_registered;
};

// Guards against calls to the platform that grow faster than the fleet: each daemon reads the registry once,
// and only a few register although all start at the same time.
TEST(registry_schedule, three_hundred_daemons_start_with_one_call_each) {
    for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE(seed);
        simulated_registry registry(300, seed);
        registry.run_until(start + 20s);
        EXPECT_EQ(registry.isolated(), 0U);
        EXPECT_LE(registry.lookups, 330U);
        EXPECT_LE(registry.registrations, 30U);
    }
}

// Guards against two daemons that start together and never find each other.
TEST(registry_schedule, a_small_mesh_finds_itself) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SCOPED_TRACE(seed);
        simulated_registry registry(2, seed);
        registry.run_until(start + 4s);
        EXPECT_EQ(registry.isolated(), 0U);
    }
}

// Guards against a daemon that gives up after the store refused its registration.
TEST(registry_schedule, a_refused_registration_is_retried) {
    simulated_registry registry(1, 5);
    registry.writes_fail = true;
    registry.run_until(start + 5s);
    EXPECT_GT(registry.registrations, 3U);
    registry.writes_fail = false;
    registry.run_until(start + 8s);
    registry.start_daemon(start + 8s);
    registry.run_until(start + 10s);
    EXPECT_EQ(registry.isolated(), 0U);
}

// Guards against a mesh whose registered hosts have all disappeared: the daemons that search for their
// failure domain stay registered.
TEST(registry_schedule, a_searching_daemon_registers_and_looks_up_rarely) {
    simulated_registry registry(20, 9);
    registry.run_until(start + 5s);
    const std::size_t lookups = registry.lookups;
    const std::size_t registrations = registry.registrations;
    for (const std::size_t index : {0, 7, 19}) {
        registry.set_searching(index);
    }
    registry.run_until(start + 65s);
    EXPECT_LE(registry.registrations, registrations + 3);
    EXPECT_GE(registry.registrations, registrations + 1);
    EXPECT_GE(registry.lookups, lookups + 3);
    EXPECT_LE(registry.lookups, lookups + 9);
}

} // namespace
} // namespace boragehollow::daemon
