#include "boragehollow/daemon/readiness.hpp"

#include <gtest/gtest.h>

namespace boragehollow::daemon {
namespace {

using namespace std::chrono_literals;

const common::steady_time start(1h);

// Guards against a daemon that reports ready and refuses the next call: under load it may get the
// configuration from a peer seconds before it gets the targets.
TEST(readiness, needs_a_configuration_and_the_targets) {
    EXPECT_FALSE(is_ready({start, false, false, false}, start));
    EXPECT_FALSE(is_ready({start, true, false, false}, start + 1s));
    EXPECT_FALSE(is_ready({start, false, true, false}, start + 1h));
    EXPECT_TRUE(is_ready({start, true, true, false}, start));
    EXPECT_FALSE(is_ready({start, true, true, true}, start));
}

// Guards against the first daemon of a mesh, or one that is cut off, that never serves.
TEST(readiness, does_not_wait_forever_for_other_daemons) {
    EXPECT_TRUE(is_ready({start, true, false, false}, start + max_wait_for_targets));
}

} // namespace
} // namespace boragehollow::daemon
