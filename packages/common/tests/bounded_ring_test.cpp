#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/reply_slot.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace boragehollow::common {
namespace {

using namespace std::chrono_literals;

TEST(bounded_ring, refuses_and_counts_messages_when_full) {
    bounded_ring<int> ring(2);
    EXPECT_TRUE(ring.try_push(1));
    EXPECT_TRUE(ring.try_push(2));
    EXPECT_FALSE(ring.try_push(3));
    EXPECT_EQ(ring.stats().dropped, 1U);
    EXPECT_EQ(ring.pop(), 1);
}

TEST(bounded_ring, push_newest_evicts_the_oldest) {
    bounded_ring<int> ring(2);
    ring.push_newest(1);
    ring.push_newest(2);
    ring.push_newest(3);
    EXPECT_EQ(ring.pop(), 2);
    EXPECT_EQ(ring.pop(), 3);
}

TEST(bounded_ring, waiting_writer_continues_when_space_is_freed) {
    bounded_ring<int> ring(1);
    ring.try_push(1);
    std::jthread writer([&] { EXPECT_TRUE(ring.push_until(2, steady_clock::now() + 10s)); });
    EXPECT_EQ(ring.pop(), 1);
    EXPECT_EQ(ring.pop(), 2);
}

TEST(bounded_ring, waiting_writer_times_out_at_its_deadline) {
    bounded_ring<int> ring(1);
    ring.try_push(1);
    EXPECT_FALSE(ring.push_until(2, steady_clock::now() + 1ms));
}

TEST(bounded_ring, closed_ring_returns_queued_messages_and_then_nothing) {
    bounded_ring<int> ring(2);
    ring.try_push(1);
    ring.close();
    EXPECT_EQ(ring.pop(), 1);
    EXPECT_EQ(ring.pop(), std::nullopt);
    EXPECT_FALSE(ring.try_push(2));
}

// Guards against a leaked slot: a duty that replies after the requesting thread has timed out must see that
// the reply is refused, or it never takes the grant back.
TEST(reply_slot, refuses_a_reply_after_the_timeout) {
    const reply_slot<int> slot;
    EXPECT_EQ(slot.wait_until(steady_clock::now()), std::nullopt);
    EXPECT_FALSE(slot.set(1));
}

TEST(reply_slot, reply_reaches_the_waiting_thread) {
    const reply_slot<int> slot;
    std::jthread duty([slot] { EXPECT_TRUE(slot.set(7)); });
    EXPECT_EQ(slot.wait_until(steady_clock::now() + 10s), 7);
}

} // namespace
} // namespace boragehollow::common
