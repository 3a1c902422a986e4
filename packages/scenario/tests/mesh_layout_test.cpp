#include "boragehollow/scenario/mesh_layout.hpp"

#include "boragehollow/settings/load.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragehollow::scenario {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

mesh_layout layout() {
    std::uint16_t port = 10'000;
    return make_layout({"m", {"a", "b"}, 2}, [&] { return ++port; });
}

// Guards against generated settings files that the daemon rejects at start.
TEST(mesh_layout, renders_settings_that_the_daemon_accepts) {
    const mesh_layout mesh = layout();
    ASSERT_EQ(mesh.daemons.size(), 4U);
    for (const daemon_endpoints& daemon : mesh.daemons) {
        const auto parsed =
            settings::parse_settings(render_settings(mesh, daemon, {{"timing.swim_period", "\"300ms\""}}));
        ASSERT_TRUE(parsed) << to_string(parsed.error().front(), daemon.name);
        EXPECT_EQ(parsed->identity.host, daemon.name);
        EXPECT_EQ(parsed->identity.failure_domain, daemon.domain);
        EXPECT_EQ(parsed->timing.swim_period, 300ms);
        EXPECT_EQ(parsed->gossip.seeds.size(), 3U);
        EXPECT_EQ(parsed->platform.log, mesh.platform);
        EXPECT_TRUE(parsed->testing.allow_fault_injection);
    }
}

TEST(mesh_layout, selects_daemons_by_name_and_domain) {
    const mesh_layout mesh = layout();
    EXPECT_EQ(mesh.select("all").size(), 4U);
    EXPECT_EQ(mesh.select("b").size(), 2U);
    EXPECT_EQ(mesh.select("b-2").size(), 1U);
    EXPECT_THAT(mesh.select("c"), IsEmpty());
}

// Guards against a cut that blocks only one direction, or that also blocks links within a failure domain.
TEST(mesh_layout, blocks_both_directions_of_a_cut) {
    const mesh_layout mesh = layout();
    const std::vector<cut_statement> cuts{{"a", "b-1"}, {"b-2", "platform"}};
    const auto& b1 = *mesh.find("b-1");
    EXPECT_THAT(blocked_addresses(mesh, *mesh.find("a-1"), cuts),
                ElementsAre(to_string(b1.peer), to_string(b1.gossip)));
    EXPECT_EQ(blocked_addresses(mesh, b1, cuts).size(), 4U);
    EXPECT_THAT(blocked_addresses(mesh, *mesh.find("b-2"), cuts), ElementsAre(to_string(mesh.platform)));
}

} // namespace
} // namespace boragehollow::scenario
