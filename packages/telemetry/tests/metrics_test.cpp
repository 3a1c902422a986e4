#include "boragehollow/telemetry/metrics.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>
#include <variant>
#include <vector>

namespace boragehollow::telemetry {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;

const common::steady_time now = common::steady_time{} + 1h;

// Guards against lost increments when several threads share one of the counter's 16 cells: there are more
// threads than cells.
TEST(counter, sums_the_additions_of_many_threads) {
    counter calls;
    {
        std::vector<std::jthread> threads;
        threads.reserve(32);
        for (int index = 0; index < 20; ++index) {
            threads.emplace_back([&] {
                for (int call = 0; call < 1'000; ++call) {
                    calls.add();
                }
            });
        }
    }
    EXPECT_EQ(calls.value(), 20'000U);
}

// Guards against output that a Prometheus scraper rejects: repeated headers or unescaped label values.
TEST(metric_registry, renders_the_text_format) {
    metric_registry registry;
    registry.add_counter("calls_total", "Calls", {{"outcome", "answered"}}).add(3);
    registry.add_counter("calls_total", "Calls", {{"outcome", "said \"no\"\\\n"}}).add();
    registry.add_gauge("members", "Members alive").set(-2);
    registry.add_latency("added_seconds", "Added latency").record(250us, now);
    EXPECT_EQ(registry.render(now), R"(# HELP calls_total Calls
# TYPE calls_total counter
calls_total{outcome="answered"} 3
calls_total{outcome="said \"no\"\\\n"} 1
# HELP members Members alive
# TYPE members gauge
members -2
# HELP added_seconds Added latency
# TYPE added_seconds summary
added_seconds{quantile="0.5"} 0.00025
added_seconds{quantile="0.95"} 0.00025
added_seconds{quantile="0.99"} 0.00025
added_seconds{quantile="0.999"} 0.00025
added_seconds{quantile="1"} 0.00025
added_seconds_sum 0.00025
added_seconds_count 1
)");
}

TEST(metric_registry, returns_the_same_series_for_the_same_labels) {
    metric_registry registry;
    counter& first = registry.add_counter("calls_total", "Calls", {{"outcome", "answered"}});
    EXPECT_EQ(&first, &registry.add_counter("calls_total", "Calls", {{"outcome", "answered"}}));
    EXPECT_NE(&first, &registry.add_counter("calls_total", "Calls", {{"outcome", "unknown"}}));
    EXPECT_THROW(registry.add_gauge("calls_total", "Calls", {{"outcome", "answered"}}),
                 std::bad_variant_access);
}

// Guards against a ring whose dropped messages are missing from the metrics.
TEST(metric_registry, exports_depth_and_drops_of_a_ring) {
    metric_registry registry;
    common::bounded_ring<int> ring(1);
    registry.add_ring("dispatch", [&] { return ring.stats(); });
    ring.try_push(1);
    ring.try_push(2);
    const std::string text = registry.render(now);
    EXPECT_THAT(text, HasSubstr("boragehollow_ring_depth{ring=\"dispatch\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("boragehollow_ring_dropped{ring=\"dispatch\"} 1\n"));
}

} // namespace
} // namespace boragehollow::telemetry
