#include "two_hosts.hpp"

#include <atomic>
#include <thread>

namespace boragehollow::daemon::testing {
namespace {

constexpr auto short_work = config::work_class::short_work;
constexpr auto long_work = config::work_class::long_work;

common::endpoint unused_endpoint() {
    const fake_target closed([](web::server_exchange&) {});
    return closed.endpoint();
}

// Guards against changes of the path, headers, body or status of a call that is forwarded between two
// daemons.
TEST(call_path, request_and_response_pass_unchanged_over_both_hops) {
    const fake_target target([](web::server_exchange& exchange) {
        const auto body = exchange.read_all(1'000'000);
        exchange.respond(201,
                         {{"X-Query", std::string(exchange.query())},
                          {"X-Id", std::string(exchange.header_value("x-request-id").value_or(""))}},
                         *body);
    });
    target_daemon host("target-host", "order-desk", target.endpoint(), 4);
    caller_daemon caller(order_desk_resources(false, short_work, 5s));
    caller.set_targets("order-desk", {{"target-host", host.endpoint()}});
    const std::string body(200'000, 'b');
    const auto response =
        web::fetch(caller.endpoint(), "POST", "/orders?n=%20", {{"x-request-id", "r-1"}}, body, 5s);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response->status, 201);
    EXPECT_TRUE(response->body == body);
    EXPECT_EQ(web::find_header(response->headers, "X-Query"), "n=%20");
    EXPECT_EQ(web::find_header(response->headers, "X-Id"), "r-1");
    EXPECT_EQ(web::find_header(response->headers, "boragehollow-served-by"), "target-host");
}

// Guards against a truncated response body that looks complete when the target crashes while it sends the
// body.
TEST(call_path, target_that_dies_in_a_body_gives_a_broken_transfer) {
    for (const bool chunked : {false, true}) {
        const fake_target target([&](web::server_exchange& exchange) {
            exchange.begin_response(200, {},
                                    chunked ? std::nullopt : std::optional<std::uint64_t>(1'000'000));
            exchange.write(std::string(100'000, 'x'));
            exchange.abort();
        });
        target_daemon host("target-host", "order-desk", target.endpoint(), 4);
        caller_daemon caller(order_desk_resources(false, short_work, 5s));
        caller.set_targets("order-desk", {{"target-host", host.endpoint()}});
        const auto response = web::fetch(caller.endpoint(), "GET", "/", {}, "", 5s);
        ASSERT_FALSE(response) << "chunked: " << chunked;
        EXPECT_EQ(response.error().kind, web::web_error_kind::truncated);
    }
}

// Guards against a second execution: a target that closes the connection without a response may have run the
// request.
TEST(call_path, lost_response_of_a_non_idempotent_call_is_unknown_and_not_repeated) {
    std::atomic<int> runs = 0;
    const fake_target target([&](web::server_exchange& exchange) {
        ++runs;
        exchange.abort();
    });
    target_daemon host("target-host", "order-desk", target.endpoint(), 4);
    caller_daemon caller(order_desk_resources(false, short_work, 5s));
    caller.set_targets("order-desk", {{"target-host", host.endpoint()}});
    const auto response = web::fetch(caller.endpoint(), "POST", "/", {}, "order", 10s);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(outcome_of(*response), "unknown");
    EXPECT_EQ(runs, 1);
}

// Guards against failing a call that was not run although another host could run it.
TEST(call_path, unreachable_host_is_replaced_by_another_one) {
    const fake_target target([](web::server_exchange& exchange) { exchange.respond(200, {}, "ok"); });
    target_daemon host("target-host", "order-desk", target.endpoint(), 4);
    caller_daemon caller(order_desk_resources(false, short_work, 5s));
    caller.set_targets("order-desk", {{"dead-host", unused_endpoint()}, {"target-host", host.endpoint()}});
    for (int i = 0; i < 4; ++i) {
        const auto response = web::fetch(caller.endpoint(), "POST", "/", {}, "order", 10s);
        ASSERT_TRUE(response) << response.error().detail;
        EXPECT_EQ(response->status, 200) << response->body;
    }
}

// Guards against reporting an unknown outcome for a call that was never sent to a target.
TEST(call_path, no_reachable_target_is_not_run) {
    caller_daemon caller(order_desk_resources(false, short_work, 2s));
    caller.set_targets("order-desk", {{"dead-host", unused_endpoint()}});
    const auto response = web::fetch(caller.endpoint(), "POST", "/", {}, "order", 10s);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(outcome_of(*response), "not_run");
}

// Guards against delivering a late response to the caller of a later request on the same target connection.
TEST(call_path, late_response_is_not_delivered_to_the_next_call) {
    const fake_target target([](web::server_exchange& exchange) {
        const std::string id(exchange.header_value("x-request-id").value_or(""));
        if (id == "slow") {
            std::this_thread::sleep_for(400ms);
        }
        exchange.respond(200, {}, id);
    });
    target_daemon host("target-host", "order-desk", target.endpoint(), 4);
    caller_daemon caller(order_desk_resources(false, short_work, 200ms));
    caller.set_targets("order-desk", {{"target-host", host.endpoint()}});
    const auto slow = web::fetch(caller.endpoint(), "POST", "/", {{"x-request-id", "slow"}}, "a", 5s);
    ASSERT_TRUE(slow) << slow.error().detail;
    EXPECT_EQ(outcome_of(*slow), "unknown");
    for (int i = 0; i < 5; ++i) {
        const std::string id = "fast-" + std::to_string(i);
        const auto fast = web::fetch(caller.endpoint(), "POST", "/", {{"x-request-id", id}}, "b", 5s);
        ASSERT_TRUE(fast) << fast.error().detail;
        EXPECT_EQ(fast->body, id);
    }
}

// Guards against ending long work at the route's deadline after it has started.
TEST(call_path, long_transfers_outlast_the_deadline) {
    const fake_target target([](web::server_exchange& exchange) {
        const auto body = exchange.read_all(10'000'000);
        std::this_thread::sleep_for(300ms);
        exchange.begin_response(200, {}, std::nullopt);
        for (int i = 0; i < 3; ++i) {
            std::this_thread::sleep_for(150ms);
            exchange.write(*body);
        }
        exchange.finish_response();
    });
    target_daemon host("target-host", "order-desk", target.endpoint(), 4);
    caller_daemon caller(order_desk_resources(false, long_work, 250ms));
    caller.set_targets("order-desk", {{"target-host", host.endpoint()}});
    const std::string body(500'000, 'u');
    const auto response = web::fetch(caller.endpoint(), "POST", "/upload", {}, body, 10s);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body.size(), 3 * body.size());
}

// Guards against running a call twice when a caller repeats its idempotency key.
TEST(call_path, repeated_idempotency_key_is_not_run_again) {
    std::atomic<int> runs = 0;
    const fake_target target([&](web::server_exchange& exchange) {
        ++runs;
        exchange.respond(200, {}, "ok");
    });
    target_daemon host("target-host", "order-desk", target.endpoint(), 4);
    caller_daemon caller(order_desk_resources(false, short_work, 5s));
    caller.set_targets("order-desk", {{"target-host", host.endpoint()}});
    const web::header_list key{{"Idempotency-Key", "deposit-17"}};
    const auto first = web::fetch(caller.endpoint(), "POST", "/", key, "a", 5s);
    const auto second = web::fetch(caller.endpoint(), "POST", "/", key, "a", 5s);
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->status, 200) << first->body;
    EXPECT_EQ(second->status, 409);
    EXPECT_EQ(outcome_of(*second), "unknown");
    EXPECT_EQ(runs, 1);
}

// Guards against reporting an unknown outcome when a call waits for a slot until its deadline.
TEST(call_path, full_target_refuses_as_not_run) {
    std::atomic<bool> release = false;
    const fake_target target([&](web::server_exchange& exchange) {
        release.wait(false);
        exchange.respond(200, {}, "ok");
    });
    target_daemon host("target-host", "order-desk", target.endpoint(), 1);
    caller_daemon caller(order_desk_resources(false, short_work, 10s));
    caller.set_targets("order-desk", {{"target-host", host.endpoint()}});
    std::jthread holder([&] { web::fetch(caller.endpoint(), "POST", "/", {}, "hold", 5s); });
    std::this_thread::sleep_for(100ms);
    const auto response =
        web::fetch(caller.endpoint(), "POST", "/", {{"boragehollow-deadline-ms", "300"}}, "wait", 5s);
    release = true;
    release.notify_all();
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(outcome_of(*response), "not_run") << response->body;
}

// Guards against forwarding malformed requests, or calls before the daemon has a configuration.
TEST(call_path, malformed_requests_get_a_clear_error) {
    caller_daemon caller(order_desk_resources(false, short_work, 1s));
    const auto dots = web::fetch(caller.endpoint(), "GET", "/a/../b", {}, "", 5s);
    ASSERT_TRUE(dots) << dots.error().detail;
    EXPECT_EQ(dots->status, 400);
    const auto length =
        web::fetch(caller.endpoint(), "POST", "/", {{"Transfer-Encoding", "chunked"}}, "0\r\n\r\n", 5s);
    ASSERT_TRUE(length) << length.error().detail;
    EXPECT_EQ(length->status, 400);
    caller.state().ready = false;
    const auto early = web::fetch(caller.endpoint(), "GET", "/", {}, "", 5s);
    ASSERT_TRUE(early) << early.error().detail;
    EXPECT_EQ(early->status, 503);
    EXPECT_EQ(outcome_of(*early), "not_run");
}

} // namespace
} // namespace boragehollow::daemon::testing
