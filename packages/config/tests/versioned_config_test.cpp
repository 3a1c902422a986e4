#include "boragehollow/config/versioned_config.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace boragehollow::config {
namespace {

versioned_config valid_config() {
    versioned_config state;
    state.version = {12};
    state.services = {{.name = "desk"}, {.name = "drawings"}};
    route split{.name = "orders", .host = "a.example", .path_prefix = "/orders", .service = "desk"};
    split.backends = {{"desk", 90}, {"drawings", 10}};
    state.routes = {split};
    return state;
}

// Guards against an active configuration that lacks resources of its version.
TEST(versioned_config, activates_all_resources_of_the_version) {
    const auto active = activate_config(valid_config());
    ASSERT_TRUE(active.has_value());
    EXPECT_EQ(active->snapshot->version, revision{12});
    EXPECT_TRUE(active->snapshot->has_service("drawings"));
    EXPECT_NE(active->snapshot->find({resource_kind::route, "orders"}), nullptr);
}

// Guards against a split route with a backend that does not exist.
TEST(versioned_config, rejects_a_split_route_with_an_undefined_service) {
    versioned_config state = valid_config();
    state.routes.front().backends.push_back({"missing", 5});
    EXPECT_FALSE(activate_config(state).has_value());
}

// Guards against a partially applied version: one invalid route must reject the whole state.
TEST(versioned_config, rejects_the_whole_state_for_one_invalid_route) {
    versioned_config state = valid_config();
    state.routes.push_back({.name = "bad", .path_prefix = "no-slash", .service = "desk"});
    EXPECT_FALSE(activate_config(state).has_value());
}

// Guards against a version that is rejected by every daemon because the platform chose a name which the
// product's own API would not accept.
TEST(versioned_config, accepts_the_names_that_a_platform_chooses) {
    for (const char* name : {"Orders", "orders/eu", "pedidos-ñ", "-", "two words", "\"quoted\""}) {
        versioned_config state = valid_config();
        state.services.push_back({.name = name});
        state.routes.push_back({.name = name, .host = "b.example", .path_prefix = "/b", .service = name});
        const auto active = activate_config(state);
        ASSERT_TRUE(active.has_value()) << active.error();
        EXPECT_TRUE(active->snapshot->has_service(name));
    }
    for (const std::string& name : {std::string(), std::string("line\nbreak"), std::string(129, 'x')}) {
        versioned_config state = valid_config();
        state.services.push_back({.name = name});
        EXPECT_FALSE(activate_config(state).has_value()) << name;
    }
}

// Guards against a removed route that stays active, and against a changed one that keeps its old content,
// when the new version shares its resources with the previous one.
TEST(versioned_config, a_version_that_follows_another_contains_its_own_resources_only) {
    versioned_config first = valid_config();
    first.routes.push_back({.name = "removed", .path_prefix = "/r", .service = "desk"});
    first.services.push_back({.name = "ended"});
    const auto before = activate_config(first).value();
    versioned_config second = valid_config();
    second.version = {13};
    second.routes.front().priority = 7;
    second.routes.push_back({.name = "added", .path_prefix = "/a", .service = "desk"});
    const auto after = activate_config(second, before.snapshot.get()).value();
    const auto alone = activate_config(second).value();
    EXPECT_EQ(after.snapshot->find({resource_kind::route, "removed"}), nullptr);
    EXPECT_FALSE(after.snapshot->has_service("ended"));
    EXPECT_EQ(after.snapshot->resources.size(), alone.snapshot->resources.size());
    for (const auto& [key, stored] : alone.snapshot->resources) {
        ASSERT_NE(after.snapshot->find(key), nullptr) << key.name;
        EXPECT_EQ(after.snapshot->find(key)->value, stored.value) << key.name;
    }
    EXPECT_EQ(before.snapshot->find({resource_kind::route, "orders"})->changed_at, revision{12});
    second.routes.push_back({.name = "dangling", .path_prefix = "/d", .service = "ended"});
    EXPECT_FALSE(activate_config(second, before.snapshot.get()).has_value());
}

client_account account(const std::string& name, std::vector<std::string> keys) {
    client_account result;
    result.name = name;
    result.keys = std::move(keys);
    return result;
}

// Guards against accounts that are lost on the way to the daemon's parts, and against a key that is listed
// twice for its own account and makes the version invalid.
TEST(versioned_config, activates_the_accounts_of_the_version) {
    versioned_config state = valid_config();
    state.accounts = std::vector{account("one", {"k1", "k1"}), account("two", {}), account("three", {"k3"})};
    const auto active = activate_config(state);
    ASSERT_TRUE(active.has_value()) << active.error();
    EXPECT_EQ(*active->accounts, *state.accounts);
}

// Guards against a version that removes the last account and thereby opens all routes.
TEST(versioned_config, tells_no_accounts_from_an_empty_table) {
    versioned_config state = valid_config();
    EXPECT_EQ(activate_config(state)->accounts, nullptr);
    state.accounts.emplace();
    const auto active = activate_config(state);
    ASSERT_TRUE(active.has_value()) << active.error();
    ASSERT_NE(active->accounts, nullptr);
    EXPECT_TRUE(active->accounts->empty());
}

// Guards against a call that counts for one of two accounts by chance, against a name that adds headers to a
// request, and against an error message that shows a key.
TEST(versioned_config, rejects_the_whole_state_for_one_invalid_account) {
    const client_account valid = account("one", {"key-1", "key-2"});
    client_account endless = account("two", {"key-3"});
    endless.rate_per_second = std::numeric_limits<double>::infinity();
    client_account negative = account("two", {"key-3"});
    negative.burst = -1;
    for (const client_account& invalid :
         {account("two", {"key-3", "key-2"}), account("two", {""}), account("", {"key-3"}),
          account("two\r\nEvil: 1", {"key-3"}), account(" two", {"key-3"}), account("one", {"key-3"}),
          account(std::string(300, 'n'), {"key-3"}), endless, negative}) {
        versioned_config state = valid_config();
        state.accounts = std::vector{valid, invalid};
        const auto active = activate_config(state);
        ASSERT_FALSE(active.has_value()) << invalid.name;
        EXPECT_EQ(active.error().find("key-"), std::string::npos) << active.error();
    }
}

// Guards against a split route whose backends receive no calls.
TEST(versioned_config, rejects_a_split_route_without_weight) {
    versioned_config state = valid_config();
    state.routes.front().backends = {{"desk", 0}};
    EXPECT_FALSE(activate_config(state).has_value());
}

} // namespace
} // namespace boragehollow::config
