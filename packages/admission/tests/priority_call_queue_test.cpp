#include "boragehollow/admission/priority_call_queue.hpp"

#include <gtest/gtest.h>

namespace boragehollow::admission {
namespace {

using namespace std::chrono_literals;

const steady_time start{};
constexpr microseconds service{200'000};

waiting_call waiting(std::uint64_t id, std::uint32_t priority, milliseconds soft_deadline,
                     milliseconds enqueued = 0ms) {
    admission_request request;
    request.id = {id};
    request.priority = priority;
    request.soft_deadline = start + soft_deadline;
    return {request, start + enqueued, start + 5s};
}

std::vector<std::uint64_t> order_of(priority_call_queue& queue, steady_time now) {
    std::vector<std::uint64_t> order;
    while (!queue.empty()) {
        order.push_back(queue.pop(now, service).request.id.value);
    }
    return order;
}

// Guards against an order that waits behind stock checks.
TEST(RankedQueue, ServesUrgentCallsFirstAndKeepsTheOrderOfArrivalWithinARank) {
    priority_call_queue queue;
    queue.push(waiting(1, 2, 1s));
    queue.push(waiting(2, 1, 1s));
    queue.push(waiting(3, 2, 1s));
    queue.push(waiting(4, 1, 1s));
    EXPECT_EQ(order_of(queue, start), (std::vector<std::uint64_t>{2, 4, 1, 3}));
}

// Guards against a crest at which every call is answered late since it waits behind those that already are.
TEST(RankedQueue, PrefersCallsThatCanStillBeAnsweredInTime) {
    priority_call_queue queue;
    queue.push(waiting(1, 1, 100ms)); // Cannot be answered within its aim any more.
    queue.push(waiting(2, 1, 900ms));
    EXPECT_EQ(order_of(queue, start), (std::vector<std::uint64_t>{2, 1}));
}

// Guards against a class of calls that is shut out while a more urgent one keeps the target busy.
TEST(RankedQueue, GivesOneTurnInFourToLessUrgentRanks) {
    priority_call_queue queue;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        queue.push(waiting(id, 1, 5s));
    }
    queue.push(waiting(100, 2, 5s));
    queue.push(waiting(101, 2, 5s));
    EXPECT_EQ(order_of(queue, start), (std::vector<std::uint64_t>{1, 2, 3, 100, 4, 5, 6, 101, 7, 8}));
}

// Guards against a full queue that refuses an order while stock checks wait in it.
TEST(RankedQueue, DisplacesOnlyLessUrgentCalls) {
    priority_call_queue queue;
    queue.push(waiting(1, 2, 1s));
    EXPECT_FALSE(queue.displace_for(waiting(2, 2, 1s).request).has_value());
    const auto displaced = queue.displace_for(waiting(3, 1, 1s).request);
    ASSERT_TRUE(displaced.has_value());
    EXPECT_EQ(displaced->request.id.value, 1U);
}

// Guards against an expected wait that counts calls which will be overtaken.
TEST(RankedQueue, CountsOnlyWhatIsServedBefore) {
    priority_call_queue queue;
    queue.push(waiting(1, 1, 900ms));
    queue.push(waiting(2, 2, 900ms));
    queue.push(waiting(3, 2, 100ms));
    EXPECT_EQ(queue.ahead_of(waiting(9, 2, 900ms).request, start, service), 2U);
    EXPECT_EQ(queue.ahead_of(waiting(9, 2, 0ms).request, start, service), 3U);
    EXPECT_EQ(queue.ahead_of(waiting(9, 0, 900ms).request, start, service), 0U);
}

} // namespace
} // namespace boragehollow::admission
