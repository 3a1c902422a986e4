#include "boragehollow/spreading/record_store.hpp"

#include <gtest/gtest.h>

namespace boragehollow::spreading {
namespace {

log_record record(std::uint64_t offset, std::size_t bytes = 10) {
    return {revision{offset}, std::make_shared<const std::string>(bytes, 'x')};
}

// Guards against records applied out of order when pushes overtake each other.
TEST(record_store, buffers_records_after_a_gap) {
    record_store store(8, 1'000);
    EXPECT_TRUE(store.add(record(2)));
    EXPECT_TRUE(store.take_contiguous().empty());
    EXPECT_TRUE(store.has_gap());
    EXPECT_TRUE(store.add(record(1)));
    EXPECT_EQ(store.take_contiguous().size(), 2U);
    EXPECT_FALSE(store.add(record(2)));
    EXPECT_EQ(store.last(), revision{2});
}

// Guards against unbounded memory, and against replies that skip records which are no longer retained.
TEST(record_store, retains_the_newest_records_within_both_limits) {
    record_store by_count(4, 1'000);
    record_store by_bytes(100, 45);
    for (std::uint64_t offset = 1; offset <= 9; ++offset) {
        by_count.add(record(offset));
        by_bytes.add(record(offset));
        by_count.take_contiguous();
        by_bytes.take_contiguous();
    }
    EXPECT_EQ(by_bytes.retained_bytes(), 40U);
    EXPECT_FALSE(by_count.covers(revision{4}));
    EXPECT_TRUE(by_count.covers(revision{5}));
    EXPECT_EQ(by_count.records_after(revision{5}, 1'000).size(), 4U);
    EXPECT_EQ(by_count.records_after(revision{5}, 25).size(), 2U);
    EXPECT_EQ(by_count.records_after(revision{5}, 1).size(), 1U);
}

// Guards against a full buffer that refuses the record which all buffered records wait for.
TEST(record_store, always_accepts_the_record_that_closes_the_gap) {
    record_store store(3, 1'000);
    for (std::uint64_t offset = 5; offset >= 2; --offset) {
        store.add(record(offset));
    }
    EXPECT_FALSE(store.add(record(9)));
    EXPECT_TRUE(store.add(record(1)));
    EXPECT_EQ(store.take_contiguous().size(), 4U);
}

} // namespace
} // namespace boragehollow::spreading
