#include "boragehollow/spreading/record_store.hpp"

#include <gtest/gtest.h>

namespace boragehollow::spreading {
namespace {

log_record record(std::uint64_t offset, std::size_t bytes = 10) {
    return {revision{offset}, std::make_shared<const std::string>(bytes, 'x')};
}

// Guards against records applied out of order when pushes cross in flight.
TEST(record_store, holds_back_records_behind_a_gap) {
    record_store store(8, 1'000);
    EXPECT_TRUE(store.add(record(2)));
    EXPECT_TRUE(store.take_ready().empty());
    EXPECT_TRUE(store.has_gap());
    EXPECT_TRUE(store.add(record(1)));
    EXPECT_EQ(store.take_ready().size(), 2U);
    EXPECT_FALSE(store.add(record(2)));
    EXPECT_EQ(store.last(), revision{2});
}

// Guards against unbounded memory, and against answers that leave out records which are no longer kept.
TEST(record_store, keeps_the_newest_records_within_both_bounds) {
    record_store by_count(4, 1'000);
    record_store by_bytes(100, 45);
    for (std::uint64_t offset = 1; offset <= 9; ++offset) {
        by_count.add(record(offset));
        by_bytes.add(record(offset));
        by_count.take_ready();
        by_bytes.take_ready();
    }
    EXPECT_EQ(by_bytes.kept_bytes(), 40U);
    EXPECT_FALSE(by_count.covers(revision{4}));
    EXPECT_TRUE(by_count.covers(revision{5}));
    EXPECT_EQ(by_count.after(revision{5}, 1'000).size(), 4U);
    EXPECT_EQ(by_count.after(revision{5}, 25).size(), 2U);
    EXPECT_EQ(by_count.after(revision{5}, 1).size(), 1U);
}

// Guards against a full look-ahead that refuses the record which everything else waits for.
TEST(record_store, always_has_room_for_the_record_that_closes_the_gap) {
    record_store store(3, 1'000);
    for (std::uint64_t offset = 5; offset >= 2; --offset) {
        store.add(record(offset));
    }
    EXPECT_FALSE(store.add(record(9)));
    EXPECT_TRUE(store.add(record(1)));
    EXPECT_EQ(store.take_ready().size(), 4U);
}

} // namespace
} // namespace boragehollow::spreading
