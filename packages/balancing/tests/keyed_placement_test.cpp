#include "boragehollow/balancing/keyed_placement.hpp"
#include "boragehollow/common/random_source.hpp"

#include <gtest/gtest.h>

#include <map>

namespace boragehollow::balancing {
namespace {

using std::chrono::seconds;

class keyed_placement_fixture : public ::testing::Test {
protected:
    static constexpr seconds window{120};

    void add(const std::string& host, steady_time first_seen) {
        candidates.push_back({host, first_seen, {}, true});
    }

    void update() { placement.update(candidates, now); }

    std::string place(const std::string& key) {
        const auto host = placement.place(key, now);
        return host ? *host : std::string(to_string(host.error()));
    }

    keyed_placement placement{window};
    std::vector<keyed_placement::candidate> candidates;
    steady_time now = steady_time(std::chrono::hours(10));
};

TEST_F(keyed_placement_fixture, a_retry_goes_to_the_same_target) {
    for (const char* host : {"a", "b", "c"}) {
        add(host, now - window * 10);
    }
    update();
    std::map<std::string, int> used;
    for (int i = 0; i < 300; ++i) {
        const std::string key = std::to_string(i);
        EXPECT_EQ(place(key), place(key));
        ++used[place(key)];
    }
    EXPECT_EQ(used.size(), 3U);
}

TEST_F(keyed_placement_fixture, excludes_targets_known_for_less_than_a_window) {
    update();
    EXPECT_EQ(place("k"), "no_target");
    add("a", now);
    update();
    EXPECT_EQ(place("k"), "placement_unsettled");
    now += window * 2;
    EXPECT_EQ(place("k"), "a");
    add("b", now);
    update();
    now += window - seconds(1);
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(place(std::to_string(i)), "a");
    }
}

TEST_F(keyed_placement_fixture, keys_of_a_lost_target_are_refused_for_the_window) {
    for (const char* host : {"a", "b"}) {
        add(host, now - window * 10);
    }
    update();
    std::string key = "0";
    while (place(key) != "a") {
        key += "0";
    }
    candidates.erase(candidates.begin());
    update();
    EXPECT_EQ(place(key), "placement_lost");
    now += window - seconds(1);
    update();
    EXPECT_EQ(place(key), "placement_lost");
    now += seconds(1);
    update();
    EXPECT_EQ(place(key), "b");
}

// Guards against a restarted target that is taken for the instance which owned the keys.
TEST_F(keyed_placement_fixture, a_restarted_target_does_not_serve_keys_of_its_previous_instance) {
    add("a", now - window * 10);
    update();
    EXPECT_EQ(place("k"), "a");
    candidates.front().first_seen = now;
    update();
    EXPECT_EQ(place("k"), "placement_lost");
    now += window;
    update();
    EXPECT_EQ(place("k"), "a");
    candidates.front().lost_since = now;
    update();
    EXPECT_EQ(place("k"), "placement_lost");
    candidates.front().lost_since.reset();
    update();
    EXPECT_EQ(place("k"), "a") << "false alarm: the same instance still has its key table";
}

// Random arrivals, restarts and losses of targets. Guards against a key running on two instances within a
// window.
TEST_F(keyed_placement_fixture, no_key_runs_on_two_instances_within_the_window) {
    common::random_source random(23);
    std::map<std::string, std::pair<std::string, steady_time>> last_run;
    std::size_t runs = 0;
    for (int host = 0; host < 5; ++host) {
        add("h" + std::to_string(host), now - window * 10);
    }
    for (int step = 0; step < 20'000; ++step) {
        now += seconds(1);
        if (random.index(150) == 0) {
            const std::string host = "h" + std::to_string(random.index(8));
            const auto known = std::find_if(candidates.begin(), candidates.end(),
                                            [&](const auto& candidate) { return candidate.host == host; });
            if (known == candidates.end()) {
                add(host, now);
            } else if (random.index(2) == 0) {
                known->first_seen = now;
            } else {
                candidates.erase(known);
            }
            update();
        }
        const std::string key = std::to_string(random.index(40));
        const auto chosen = placement.place(key, now);
        if (!chosen) {
            continue;
        }
        const auto instance = std::find_if(candidates.begin(), candidates.end(),
                                           [&](const auto& candidate) { return candidate.host == *chosen; });
        ASSERT_NE(instance, candidates.end());
        const std::string name =
            *chosen + "@" + std::to_string(instance->first_seen.time_since_epoch().count());
        const auto earlier = last_run.find(key);
        if (earlier != last_run.end() && now - earlier->second.second < window) {
            ASSERT_EQ(earlier->second.first, name) << "step " << step;
        }
        last_run[key] = {name, now};
        ++runs;
    }
    std::printf("keyed placement: %zu of 20000 requests were placed with a change every 150 s\n", runs);
    EXPECT_GT(runs, 2'000U);
}

} // namespace
} // namespace boragehollow::balancing
