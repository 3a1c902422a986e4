#include "boragehollow/admission/fair_queue.hpp"

#include <gtest/gtest.h>

namespace boragehollow::admission {
namespace {

waiting_call call(std::uint64_t number, const std::string& caller) {
    waiting_call value;
    value.request.id = admission_id{number};
    value.request.caller = caller;
    value.enqueued = steady_time(milliseconds(number));
    value.expires = steady_time(milliseconds(1'000 + number));
    return value;
}

std::vector<std::uint64_t> drain(fair_queue& queue) {
    std::vector<std::uint64_t> order;
    while (!queue.empty()) {
        order.push_back(queue.pop().request.id.value);
    }
    return order;
}

TEST(fair_queue, serves_callers_round_robin) {
    fair_queue queue;
    for (const std::uint64_t number : {1, 2, 3}) {
        queue.push(call(number, "a"));
    }
    queue.push(call(4, "b"));
    EXPECT_EQ(queue.calls_ahead_of("b"), 3U);
    EXPECT_EQ(queue.calls_ahead_of("c"), 2U);
    EXPECT_EQ(drain(queue), (std::vector<std::uint64_t>{1, 4, 2, 3}));
}

TEST(fair_queue, serves_in_fifo_order_without_fairness) {
    fair_queue queue;
    for (const std::uint64_t number : {1, 2, 3}) {
        queue.push(call(number, "a"));
    }
    queue.push(call(4, "b"));
    queue.set_fair(false);
    EXPECT_EQ(queue.calls_ahead_of("b"), 4U);
    EXPECT_EQ(drain(queue), (std::vector<std::uint64_t>{1, 2, 3, 4}));
}

TEST(fair_queue, removal_keeps_the_order_of_the_remaining_calls) {
    fair_queue queue;
    for (const std::uint64_t number : {1, 2, 3}) {
        queue.push(call(number, "a"));
    }
    queue.push(call(4, "b"));
    EXPECT_TRUE(queue.remove(admission_id{4}));
    EXPECT_FALSE(queue.remove(admission_id{4}));
    EXPECT_EQ(queue.remove_newest_of_longest()->request.id, admission_id{3});
    EXPECT_EQ(queue.remove_expired(steady_time(milliseconds(1'001))).size(), 1U);
    EXPECT_EQ(*queue.earliest_expiry(), steady_time(milliseconds(1'002)));
    EXPECT_EQ(drain(queue), (std::vector<std::uint64_t>{2}));
    EXPECT_FALSE(queue.earliest_expiry());
}

} // namespace
} // namespace boragehollow::admission
