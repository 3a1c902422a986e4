#include "boragehollow/routing/backend_split.hpp"

#include <gtest/gtest.h>

#include <map>

namespace boragehollow::routing {
namespace {

// Guards against shares that deviate from the weights by more than a tenth over a few hundred calls.
TEST(backend_split, distributes_calls_by_weight) {
    common::random_source random(7);
    config::route route{.service = "a"};
    route.backends = {{"a", 90}, {"b", 10}, {"c", 0}};
    std::map<std::string, int> calls;
    constexpr int total = 3'000;
    for (int i = 0; i < total; ++i) {
        ++calls[choose_backend(route, random)];
    }
    EXPECT_NEAR(calls["a"] / double(total), 0.9, 0.05);
    EXPECT_NEAR(calls["b"] / double(total), 0.1, 0.05);
    EXPECT_EQ(calls["c"], 0);
}

// Guards against a route without backends losing its own service.
TEST(backend_split, uses_the_service_of_a_route_without_backends) {
    common::random_source random(7);
    EXPECT_EQ(choose_backend({.service = "desk"}, random), "desk");
}

} // namespace
} // namespace boragehollow::routing
