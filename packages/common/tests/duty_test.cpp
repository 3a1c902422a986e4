#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/scope_guard.hpp"

#include <gtest/gtest.h>

namespace boragehollow::common {
namespace {

TEST(duty, ends_when_its_ring_is_closed) {
    bounded_ring<int> ring(4);
    int sum = 0;
    duty summing("summing", [&](const std::stop_token&) {
        while (const auto value = ring.pop()) {
            sum += *value;
        }
    });
    ring.try_push(2);
    ring.try_push(3);
    ring.close();
    summing.join();
    EXPECT_EQ(sum, 5);
}

TEST(scope_guard, runs_once_unless_dismissed) {
    int runs = 0;
    {
        const scope_guard guard([&] { ++runs; });
    }
    {
        scope_guard guard([&] { ++runs; });
        guard.dismiss();
    }
    EXPECT_EQ(runs, 1);
}

} // namespace
} // namespace boragehollow::common
