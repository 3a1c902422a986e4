#include "daemon_under_test.hpp"

#include <gtest/gtest.h>

#include <atomic>

namespace boragehollow::forwarding {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

constexpr std::size_t kib = 1024;
constexpr std::size_t body_bytes = 90'000;

std::string upload_head(const std::string& id) {
    return request("POST", "/order/a", id, "Content-Length: " + std::to_string(body_bytes) + "\r\n");
}

struct counting_target {
    std::atomic<int> ran{0};
    scripted_server server{[this](tcp::socket& socket, const std::string& head) {
        if (header(head, "X-Id").empty()) {
            return true;
        }
        ++ran;
        send(socket, ok_response(header(head, "X-Id"), "done"));
        return true;
    }};
};

// Guards against a refusal for memory without the fields that a caller needs, or of a request that runs.
TEST(client_limits, body_beyond_the_memory_is_refused_as_not_run) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1", {.bytes = 70 * kib});
    raw_client caller(daemon.caller_endpoint());
    caller.write(upload_head("u1"));
    const std::string response = caller.read();
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
    EXPECT_EQ(header(response, "X-Id"), "u1");
    EXPECT_GE(std::stod("0" + header(response, "Retry-After")), 2.0);
    EXPECT_EQ(caller.read(), "");
    EXPECT_EQ(target.ran, 0);
}

// Guards against a daemon that takes a refusal for memory by another daemon for an unknown outcome.
TEST(client_limits, refusal_to_another_daemon_says_that_the_call_was_not_run) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1", {.bytes = 70 * kib});
    raw_client peer(daemon.get().peer_endpoint());
    peer.write(upload_head("u1"));
    const std::string response = peer.read();
    EXPECT_EQ(header(response, "bh-outcome"), "refused") << response;
    EXPECT_EQ(header(response, "bh-retry-after-ms"), "2000");
    EXPECT_EQ(target.ran, 0);
}

// Guards against clients that stop short of the end of their bodies and keep the memory from others.
TEST(client_limits, stalled_body_yields_to_a_waiting_one) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1", {.bytes = 200 * kib});
    raw_client stalled(daemon.caller_endpoint());
    stalled.write(upload_head("stalled") + std::string(body_bytes - 10, 'x'));
    std::this_thread::sleep_for(200ms);
    raw_client waiting(daemon.caller_endpoint());
    waiting.write(upload_head("waiting") + std::string(body_bytes, 'x'));
    EXPECT_TRUE(waiting.read().starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(stalled.read().starts_with("HTTP/1.1 503"));
    EXPECT_EQ(target.ran, 1);
}

// Guards against heads of many small fields, which take many times their size and end the process (review
// case 6).
TEST(client_limits, head_of_many_fields_counts_as_memory) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1",
                             {.bytes = 200 * kib, .small_reserve_bytes = 256 * kib});
    std::string fields = "Content-Length: 10\r\n";
    for (int i = 0; i < 900; ++i) {
        fields += "a:\r\n";
    }
    raw_client stalled(daemon.caller_endpoint());
    stalled.write(request("POST", "/order/a", "stalled", fields) + "12345");
    std::this_thread::sleep_for(100ms);
    raw_client second(daemon.caller_endpoint());
    second.write(request("POST", "/order/a", "second", fields) + "1234567890");
    const std::string refusal = second.read();
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
    EXPECT_EQ(header(refusal, "X-Id"), "second");
    EXPECT_EQ(target.ran, 0);
    raw_client ordinary(daemon.caller_endpoint());
    ordinary.write(request("POST", "/order/a", "ordinary", "Content-Length: 10\r\n") + "1234567890");
    EXPECT_TRUE(ordinary.read().starts_with("HTTP/1.1 200"));
    stalled.write("67890");
    EXPECT_TRUE(stalled.read().starts_with("HTTP/1.1 200"));
}

// Guards against clients that do not read long responses and keep the memory from others.
TEST(client_limits, response_that_is_not_read_yields_to_a_waiting_one) {
    const std::string body(6'000'000, 'r');
    scripted_server target([&](tcp::socket& socket, const std::string& head) {
        send(socket, ok_response(header(head, "X-Id"), body));
        return true;
    });
    daemon_under_test daemon(target.address(), 1'000, 4, "h1", {.bytes = 10'000 * kib});
    raw_client stalled(daemon.caller_endpoint());
    stalled.write(request("GET", "/safe/a", "stalled"));
    std::this_thread::sleep_for(2'300ms);
    raw_client waiting(daemon.caller_endpoint());
    waiting.write(request("GET", "/safe/a", "waiting"));
    EXPECT_TRUE(waiting.read().ends_with(body));
    EXPECT_LT(stalled.read().size(), body.size());
}

// Guards against ordinary requests that wait behind large bodies.
TEST(client_limits, small_request_is_served_while_the_memory_is_taken) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1",
                             {.bytes = 200 * kib, .small_reserve_bytes = 256 * kib});
    raw_client stalled(daemon.caller_endpoint());
    stalled.write(upload_head("stalled") + std::string(body_bytes - 10, 'x'));
    std::this_thread::sleep_for(100ms);
    raw_client small(daemon.caller_endpoint());
    const auto started = common::steady_clock::now();
    small.write(request("GET", "/safe/a", "small"));
    EXPECT_TRUE(small.read().starts_with("HTTP/1.1 200"));
    EXPECT_LT(common::steady_clock::now() - started, 1s);
}

// Guards against a small body in chunks that counts as large, since its length is not stated.
TEST(client_limits, small_chunked_request_is_served_while_the_memory_is_taken) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1",
                             {.bytes = 200 * kib, .small_reserve_bytes = 256 * kib});
    raw_client stalled(daemon.caller_endpoint());
    stalled.write(upload_head("stalled") + std::string(body_bytes - 10, 'x'));
    std::this_thread::sleep_for(100ms);
    raw_client small(daemon.caller_endpoint());
    const auto started = common::steady_clock::now();
    small.write(request("POST", "/order/a", "small", "Transfer-Encoding: chunked\r\n") + "5\r\nab");
    std::this_thread::sleep_for(50ms);
    small.write("cde\r\n0\r\n\r\n");
    EXPECT_TRUE(small.read().starts_with("HTTP/1.1 200"));
    EXPECT_LT(common::steady_clock::now() - started, 1s);
}

// Guards against one address that takes all connections of a daemon.
TEST(client_limits, connection_beyond_the_limit_of_its_address_is_closed) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1", {},
                             {.max_callers = 4, .max_callers_per_address = 1, .max_peers = 4});
    raw_client first(daemon.caller_endpoint());
    first.write(request("GET", "/safe/a", "1"));
    EXPECT_TRUE(first.read().starts_with("HTTP/1.1 200"));
    raw_client second(daemon.caller_endpoint());
    EXPECT_EQ(second.read(), "");
    first.write(request("GET", "/safe/a", "2"));
    EXPECT_TRUE(first.read().starts_with("HTTP/1.1 200"));
}

// Guards against unused connections that keep a daemon from accepting others.
TEST(client_limits, unused_connection_is_closed_for_a_new_one) {
    counting_target target;
    daemon_under_test daemon(target.server.address(), 1'000, 4, "h1", {},
                             {.max_callers = 1, .max_callers_per_address = 1, .max_peers = 4});
    raw_client unused(daemon.caller_endpoint());
    std::this_thread::sleep_for(50ms);
    raw_client next(daemon.caller_endpoint());
    next.write(request("GET", "/safe/a", "1"));
    EXPECT_TRUE(next.read().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(unused.read(), "");
}

} // namespace
} // namespace boragehollow::forwarding
