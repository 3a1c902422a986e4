#include "boragehollow/streams/log_client.hpp"
#include "log_server.hpp"

#include <civetweb.h>
#include <gtest/gtest.h>

#include <array>
#include <thread>

namespace boragehollow::streams {
namespace {

using namespace std::chrono_literals;

struct fixture : testing::Test {
    std::shared_ptr<memory_log> log =
        std::make_shared<memory_log>(memory_log_settings{.appends_per_second = 20});
    std::unique_ptr<platform_log::log_server> server =
        platform_log::log_server::start({"127.0.0.1", 0}, log).value();
    log_client client = http_log_client(server->local_endpoint(), "h1");
};

using http_log_client_test = fixture;

// Guards against records that change in transit: binary bytes, and a record larger than one read buffer.
TEST_F(http_log_client_test, appends_and_reads_over_http) {
    const std::string binary("\0\xff\n", 3);
    EXPECT_EQ(append(client, "config", binary, 1s), revision{1});
    EXPECT_EQ(append(client, "config", std::string(300'000, 'x'), 1s), revision{2});
    const auto page = read(client, {"config", revision{1}, 9, 0ms}, 1s);
    ASSERT_TRUE(page);
    ASSERT_EQ(page->records.size(), 2U);
    EXPECT_EQ(*page->records[0].bytes, binary);
    EXPECT_EQ(page->records[1].size(), 300'000U);
    EXPECT_EQ(log->counters().by_client.at("h1").appends, 2U);
}

// Guards against a long poll that returns only when its wait has ended although a record arrived.
TEST_F(http_log_client_test, long_poll_ends_with_the_next_record) {
    std::jthread writer([&] {
        std::this_thread::sleep_for(50ms);
        append(client, "config", "a", 1s);
    });
    const auto started = common::steady_clock::now();
    EXPECT_EQ(read(client, {"config", revision{1}, 9, 5s}, 8s)->records.size(), 1U);
    EXPECT_LT(common::steady_clock::now() - started, 3s);
}

// Guards against an operator who is told that a change was not appended although it was.
TEST_F(http_log_client_test, errors_distinguish_not_appended_from_unknown) {
    log->set_switches({.outage = true});
    const auto outage = append(client, "config", "a", 1s);
    EXPECT_EQ(outage.error().kind, log_error_kind::refused);
    log->set_switches({.lose_answers = 1});
    const auto lost = append(client, "config", "b", 1s);
    EXPECT_EQ(lost.error().kind, log_error_kind::response_lost);
    log->set_switches({.slow = 400ms});
    const auto started = common::steady_clock::now();
    const auto slow = append(client, "config", "c", 100ms);
    EXPECT_EQ(slow.error().kind, log_error_kind::response_lost);
    EXPECT_LT(common::steady_clock::now() - started, 350ms);
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(log->counters().by_stream.at("config").appends, 2U);
    const log_client unreachable = http_log_client({"127.0.0.1", 1}, "h1");
    EXPECT_EQ(append(unreachable, "config", "d", 1s).error().kind, log_error_kind::unreachable);
}

// Guards against a client that does not learn from a refused append when it may retry.
TEST_F(http_log_client_test, append_rate_is_limited) {
    for (int i = 0; i < 20; ++i) {
        ASSERT_TRUE(append(client, "config", "a", 1s));
    }
    const auto refused = append(client, "config", "a", 1s);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, log_error_kind::refused);
    EXPECT_GT(refused.error().retry_after, 0ms);
}

int stall_in_body(mg_connection* connection, void* /*data*/) {
    mg_printf(connection, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"off");
    std::this_thread::sleep_for(1500ms);
    mg_printf(connection, "set\":77");
    return 200;
}

// Guards against a caller that is held past its timeout by a service that stalls in the middle of a response,
// and against a partial response that is taken for a complete one.
TEST(http_log_client_stall, response_that_stalls_in_its_body_fails_within_the_timeout) {
    const std::array<const char*, 3> options{"listening_ports", "127.0.0.1:0", nullptr};
    const mg_callbacks callbacks{};
    mg_context* context = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
    ASSERT_NE(context, nullptr);
    mg_set_request_handler(context, "/", stall_in_body, nullptr);
    mg_server_port bound{};
    mg_get_server_ports(context, 1, &bound);
    const log_client client = http_log_client({"127.0.0.1", static_cast<std::uint16_t>(bound.port)}, "h1");
    const auto started = common::steady_clock::now();
    const auto response = append(client, "config", "a", 300ms);
    EXPECT_LT(common::steady_clock::now() - started, 1s);
    EXPECT_FALSE(response);
    mg_stop(context);
}

} // namespace
} // namespace boragehollow::streams
