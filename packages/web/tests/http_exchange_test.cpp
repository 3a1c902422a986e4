#include "boragehollow/web/http_client.hpp"
#include "boragehollow/web/http_request.hpp"
#include "boragehollow/web/http_server.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <thread>

namespace boragehollow::web {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t large_body_bytes = 3'000'000;

common::steady_time read_deadline() {
    return common::steady_clock::now() + 10s;
}

void echo(server_exchange& exchange) {
    const auto body = exchange.read_all(large_body_bytes + 1);
    if (!body) {
        exchange.abort();
        return;
    }
    exchange.begin_response(200, {{"X-Target", exchange.target()}}, std::nullopt);
    exchange.write(*body);
    exchange.finish_response();
}

std::unique_ptr<http_server> start_server(http_server::handler serve) {
    server_options options;
    options.listen = {"127.0.0.1", 0};
    options.worker_threads = 4;
    auto server = http_server::start(options, std::move(serve));
    EXPECT_TRUE(server) << server.error().detail;
    return std::move(*server);
}

// Guards against a response that states a body of 100 GB: reserving memory for it ends the process.
TEST(http_exchange, a_response_with_a_false_length_is_an_error) {
    const auto server = start_server([](server_exchange& exchange) {
        exchange.begin_response(200, {}, 99'999'999'999);
        exchange.write("start");
        exchange.abort();
    });
    const auto response =
        perform_request(server->local_endpoint(), {"GET", "/", {}, {}}, 2s, std::stop_token());
    EXPECT_FALSE(response.has_value());
}

// Guards against framing (chunked or by length) that corrupts a body or leaves the connection unusable.
TEST(http_exchange, echoes_bodies_with_length_and_chunked_on_one_connection) {
    const auto server = start_server(echo);
    auto connection = client_connection::connect(server->local_endpoint());
    ASSERT_TRUE(connection);
    for (const bool chunked : {false, true, false}) {
        const std::string body(large_body_bytes, chunked ? 'c' : 'l');
        const auto length = chunked ? std::nullopt : std::optional<std::uint64_t>(body.size());
        ASSERT_TRUE(connection->send_request("POST", "/a%20b?x=%31", {}, true, length));
        ASSERT_TRUE(connection->write(body));
        ASSERT_TRUE(connection->finish_request());
        const auto head = connection->read_head(5s);
        ASSERT_TRUE(head) << head.error().detail;
        EXPECT_EQ(find_header(head->headers, "x-target"), "/a%20b?x=%31");
        const auto received = connection->read_all(large_body_bytes + 1, read_deadline());
        ASSERT_TRUE(received) << received.error().detail;
        EXPECT_TRUE(*received == body);
        EXPECT_TRUE(connection->reusable());
    }
}

// Guards against a truncated body that is taken for a complete one.
TEST(http_exchange, aborted_responses_are_reported_as_truncated) {
    for (const bool chunked : {false, true}) {
        const auto server = start_server([&](server_exchange& exchange) {
            exchange.begin_response(200, {}, chunked ? std::nullopt : std::optional<std::uint64_t>(100));
            exchange.write("partial");
            exchange.abort();
        });
        auto connection = client_connection::connect(server->local_endpoint());
        ASSERT_TRUE(connection);
        ASSERT_TRUE(connection->send_request("GET", "/", {}, false, std::nullopt));
        ASSERT_TRUE(connection->read_head(5s));
        const auto body = connection->read_all(1'000, read_deadline());
        ASSERT_FALSE(body) << "chunked: " << chunked;
        EXPECT_EQ(body.error().kind, web_error_kind::truncated);
        EXPECT_FALSE(connection->reusable());
    }
}

// Guards against a handler that takes a truncated request body for a complete one.
TEST(http_exchange, handler_gets_an_error_for_a_truncated_request_body) {
    std::atomic<bool> truncated = false;
    std::atomic<bool> done = false;
    auto server = start_server([&](server_exchange& exchange) {
        const auto body = exchange.read_all(1'000);
        truncated = !body && body.error().kind == web_error_kind::truncated;
        done = true;
        done.notify_all();
    });
    {
        auto connection = client_connection::connect(server->local_endpoint());
        ASSERT_TRUE(connection);
        ASSERT_TRUE(connection->send_request("POST", "/", {}, true, 50U, "short"));
    }
    done.wait(false);
    EXPECT_TRUE(truncated);
}

// Guards against a failed connect that is reported as if the request might have been executed.
TEST(http_exchange, refused_connection_is_reported_as_connect_failed) {
    common::endpoint closed;
    {
        const auto server = start_server(echo);
        closed = server->local_endpoint();
    }
    const auto connection = client_connection::connect(closed);
    ASSERT_FALSE(connection);
    EXPECT_EQ(connection.error().kind, web_error_kind::connect_failed);
}

// Guards against a client that waits past its timeout for a server that sends nothing.
TEST(http_exchange, silent_server_times_out) {
    const auto server = start_server([](server_exchange& exchange) {
        std::this_thread::sleep_for(300ms);
        exchange.respond(200, {}, "late");
    });
    auto connection = client_connection::connect(server->local_endpoint());
    ASSERT_TRUE(connection);
    ASSERT_TRUE(connection->send_request("GET", "/", {}, false, std::nullopt));
    const auto head = connection->read_head(50ms);
    ASSERT_FALSE(head);
    EXPECT_EQ(head.error().kind, web_error_kind::timed_out);
}

// Guards against request smuggling: the next hop could determine the end of such a request differently.
TEST(http_exchange, ambiguous_length_is_detected) {
    const auto server = start_server([](server_exchange& exchange) {
        exchange.respond(exchange.has_ambiguous_length() ? 400 : 200, {}, "");
    });
    const auto both =
        fetch(server->local_endpoint(), "POST", "/", {{"Transfer-Encoding", "chunked"}}, "0\r\n\r\n", 5s);
    ASSERT_TRUE(both) << both.error().detail;
    EXPECT_EQ(both->status, 400);
}

// Guards against memory exhaustion by a large request body.
TEST(http_exchange, body_over_the_limit_is_rejected) {
    const auto server = start_server([](server_exchange& exchange) {
        const auto body = exchange.read_all(10);
        exchange.respond(body ? 200 : 413, {}, "");
    });
    const auto response = fetch(server->local_endpoint(), "POST", "/", {}, std::string(11, 'x'), 5s);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response->status, 413);
}

} // namespace
} // namespace boragehollow::web
