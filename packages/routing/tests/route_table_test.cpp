#include "boragehollow/routing/route_table.hpp"

#include <gtest/gtest.h>

namespace boragehollow::routing {
namespace {

using config::resource;
using config::route;

route_table table_of(std::vector<resource> resources) {
    auto snapshot = std::make_shared<config::config_snapshot>();
    for (resource& item : resources) {
        const config::resource_key key = config::key_of(item);
        snapshot->resources = snapshot->resources.insert(key, {std::move(item), {1}});
    }
    return route_table::build(std::move(snapshot));
}

class route_table_test : public testing::Test {
protected:
    std::string name(std::string_view host, std::string_view path, std::string_view method = "GET") const {
        const auto found = m_table.match(host, path, method);
        return found ? found->route->name : std::to_string(http_status(found.error()));
    }

    route_table m_table = table_of({
        config::service_policy{.name = "s"},
        config::target_rule{.name = "t2", .service = "s"},
        config::target_rule{.name = "t1", .service = "s"},
        route{.name = "any-orders", .path_prefix = "/orders", .service = "s"},
        route{.name = "orders-items", .path_prefix = "/orders/items", .methods = {"GET"}, .service = "s"},
        route{.name = "desk",
              .host = "desk.example",
              .path_prefix = "/",
              .methods = {"GET", "PUT"},
              .service = "s"},
        route{.name = "desk-b", .host = "desk.example", .path_prefix = "/x", .service = "s"},
        route{.name = "desk-a", .host = "desk.example", .path_prefix = "/x", .service = "s"},
        route{.name = "desk-z",
              .host = "desk.example",
              .path_prefix = "/x",
              .methods = {"PUT"},
              .service = "s"},
        route{.name = "lost", .path_prefix = "/lost", .service = "missing"},
    });
};

// Guards against matching inside a segment, as a plain string prefix would.
TEST_F(route_table_test, matches_whole_segments) {
    EXPECT_EQ(name("h", "/orders"), "any-orders");
    EXPECT_EQ(name("h", "/orders/"), "any-orders");
    EXPECT_EQ(name("h", "/orders?a=/b"), "any-orders");
    EXPECT_EQ(name("h", "/ordersx"), "404");
    EXPECT_EQ(name("h", "/orders/items/7"), "orders-items");
    EXPECT_EQ(name("h", "/orders/itemsx"), "any-orders");
    EXPECT_EQ(name("h", "orders"), "404");
    EXPECT_EQ(name("h", ""), "404");
}

TEST_F(route_table_test, an_exact_host_takes_precedence_over_a_longer_prefix) {
    EXPECT_EQ(name("desk.example", "/orders/items"), "desk");
    EXPECT_EQ(name("DESK.example.:8080", "/orders/items"), "desk");
    EXPECT_EQ(name("[::1]:80", "/orders"), "any-orders");
}

TEST_F(route_table_test, the_method_takes_precedence_over_the_prefix) {
    EXPECT_EQ(name("h", "/orders/items", "POST"), "any-orders");
    EXPECT_EQ(name("desk.example", "/orders", "POST"), "any-orders");
    EXPECT_EQ(name("desk.example", "/x", "PUT"), "desk-z");
    EXPECT_EQ(name("desk.example", "/x", "GET"), "desk-a");
}

TEST_F(route_table_test, distinguishes_an_unknown_path_from_a_disallowed_method) {
    EXPECT_EQ(name("h", "/none"), "404");
    const auto refused = m_table.match("desk.example", "/none", "POST");
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error(), match_error(method_not_allowed{{"GET", "PUT"}}));
}

// Guards against sending a call to a service that the daemon does not have.
TEST_F(route_table_test, ignores_a_route_whose_service_is_missing) {
    EXPECT_EQ(name("h", "/lost"), "404");
}

// Guards against a dangling route when a newer configuration replaces the table during a call.
TEST_F(route_table_test, a_match_stays_valid_after_the_table_is_replaced) {
    const auto found = m_table.match("h", "/orders", "GET");
    m_table = route_table();
    EXPECT_EQ(name("h", "/orders"), "404");
    EXPECT_EQ(found->route->name, "any-orders");
    EXPECT_EQ(found->service->policy->name, "s");
    ASSERT_EQ(found->service->rules.size(), 2U);
    EXPECT_EQ(found->service->rules.front()->name, "t1");
}

} // namespace
} // namespace boragehollow::routing
