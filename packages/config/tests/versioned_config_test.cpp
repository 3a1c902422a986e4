#include "boragehollow/config/versioned_config.hpp"

#include <gtest/gtest.h>

namespace boragehollow::config {
namespace {

versioned_config valid_state() {
    versioned_config state;
    state.version = {12};
    state.services = {{.name = "desk"}, {.name = "drawings"}};
    route split{.name = "orders", .host = "a.example", .path_prefix = "/orders", .service = "desk"};
    split.backends = {{"desk", 90}, {"drawings", 10}};
    state.routes = {split};
    return state;
}

// Guards against a version that loses resources on its way into force.
TEST(NumberedState, PutsEveryResourceInForceUnderItsVersion) {
    const auto in_force = activate_config(valid_state());
    ASSERT_TRUE(in_force.has_value());
    EXPECT_EQ(in_force->snapshot->version, revision{12});
    EXPECT_TRUE(in_force->snapshot->has_service("drawings"));
    EXPECT_NE(in_force->snapshot->find({resource_kind::route, "orders"}), nullptr);
}

// Guards against a split route of which one part leads to a service that does not exist.
TEST(NumberedState, RefusesAPartOfASplitThatHasNoService) {
    versioned_config state = valid_state();
    state.routes.front().backends.push_back({"missing", 5});
    EXPECT_FALSE(activate_config(state).has_value());
}

// Guards against a partly applied version: one bad route refuses the whole state.
TEST(NumberedState, RefusesTheWholeStateForOneInvalidRoute) {
    versioned_config state = valid_state();
    state.routes.push_back({.name = "bad", .path_prefix = "no-slash", .service = "desk"});
    EXPECT_FALSE(activate_config(state).has_value());
}

// Guards against a split that no call can take.
TEST(NumberedState, RefusesASplitWithoutWeight) {
    versioned_config state = valid_state();
    state.routes.front().backends = {{"desk", 0}};
    EXPECT_FALSE(activate_config(state).has_value());
}

} // namespace
} // namespace boragehollow::config
