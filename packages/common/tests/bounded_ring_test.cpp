#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/reply_slot.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace boragehollow::common {
namespace {

using namespace std::chrono_literals;

TEST(bounded_ring, refuses_when_full_and_counts_it) {
    bounded_ring<int> ring(2);
    EXPECT_TRUE(ring.try_push(1));
    EXPECT_TRUE(ring.try_push(2));
    EXPECT_FALSE(ring.try_push(3));
    EXPECT_EQ(ring.stats().dropped, 1U);
    EXPECT_EQ(ring.pop(), 1);
}

TEST(bounded_ring, displaces_the_oldest_when_asked) {
    bounded_ring<int> ring(2);
    ring.push_newest(1);
    ring.push_newest(2);
    ring.push_newest(3);
    EXPECT_EQ(ring.pop(), 2);
    EXPECT_EQ(ring.pop(), 3);
}

TEST(bounded_ring, waiting_writer_continues_when_room_appears) {
    bounded_ring<int> ring(1);
    ring.try_push(1);
    std::jthread writer([&] { EXPECT_TRUE(ring.push_until(2, steady_clock::now() + 10s)); });
    EXPECT_EQ(ring.pop(), 1);
    EXPECT_EQ(ring.pop(), 2);
}

TEST(bounded_ring, waiting_writer_gives_up_at_its_deadline) {
    bounded_ring<int> ring(1);
    ring.try_push(1);
    EXPECT_FALSE(ring.push_until(2, steady_clock::now() + 1ms));
}

TEST(bounded_ring, close_wakes_the_reader_after_the_queued_messages) {
    bounded_ring<int> ring(2);
    ring.try_push(1);
    ring.close();
    EXPECT_EQ(ring.pop(), 1);
    EXPECT_EQ(ring.pop(), std::nullopt);
    EXPECT_FALSE(ring.try_push(2));
}

// A grant that arrives after the asking thread gave up must be visible to the duty, or the slot would leak.
TEST(reply_slot, late_answer_is_refused) {
    const reply_slot<int> slot;
    EXPECT_EQ(slot.wait_until(steady_clock::now()), std::nullopt);
    EXPECT_FALSE(slot.set(1));
}

TEST(reply_slot, answer_reaches_the_waiting_thread) {
    const reply_slot<int> slot;
    std::jthread duty([slot] { EXPECT_TRUE(slot.set(7)); });
    EXPECT_EQ(slot.wait_until(steady_clock::now() + 10s), 7);
}

} // namespace
} // namespace boragehollow::common
