#include "boragehollow/common/save_progress.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace boragehollow::common {
namespace {

using namespace std::chrono_literals;

steady_time after(std::chrono::milliseconds wait) {
    return steady_clock::now() + wait;
}

// Guards against an acknowledgement of something that no place has saved.
TEST(save_progress, fails_at_once_when_every_place_has_failed) {
    const save_progress progress;
    auto first = progress.begin();
    auto second = progress.begin();
    std::jthread places([&] {
        first.reset();
        second.reset();
    });
    EXPECT_FALSE(progress.wait_until(after(1min)));
    EXPECT_FALSE(progress.succeeded());
}

// Guards against an acknowledgement that waits for a place that does not respond, while another one has saved
// it.
TEST(save_progress, one_place_suffices) {
    const save_progress progress;
    const auto silent = progress.begin();
    std::jthread other([saved = progress.begin()] { saved->succeed(); });
    EXPECT_TRUE(progress.wait_until(after(1min)));
}

// Guards against a wait without end, and against a late success that is forgotten.
TEST(save_progress, success_after_the_deadline_counts_for_the_next_wait) {
    const save_progress progress;
    const auto place = progress.begin();
    EXPECT_FALSE(progress.wait_until(after(10ms)));
    place->succeed();
    EXPECT_TRUE(progress.wait_until(after(10ms)));
}

} // namespace
} // namespace boragehollow::common
