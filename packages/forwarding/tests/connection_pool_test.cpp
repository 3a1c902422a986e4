#include "boragehollow/forwarding/connection_pool.hpp"

#include "scripted_peer.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace boragehollow::forwarding {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

using exchange_result = tl::expected<std::string, exchange_error>; ///< Body of the response.

/// More than the socket buffers of a loopback connection hold, so that the request is still being written
/// when the response arrives.
constexpr std::size_t upload_bytes = 16ULL * 1024 * 1024;

const std::string head_without_length = "HTTP/1.1 200 OK\r\n\r\n";

void read_until_silent(tcp::socket& socket) {
    constexpr int max_silent_checks = 4;
    std::string received(1024UL * 1024, ' ');
    error_code error;
    for (int silent_checks = 0; silent_checks < max_silent_checks && !error;) {
        if (socket.available() == 0) {
            ++silent_checks;
            std::this_thread::sleep_for(50ms);
            continue;
        }
        silent_checks = 0;
        socket.read_some(asio::buffer(received), error);
    }
}

exchange_result upload_to(const common::endpoint& server, std::size_t bytes) {
    asio::io_context context;
    const telemetry::event_log events("h1", std::make_shared<common::hybrid_clock>(),
                                      [](const telemetry::timeline_event&) {});
    telemetry::metric_registry metrics;
    connection_pool pool(
        context, std::make_shared<memory_ledger>(resources::memory_budget_settings{}, events, metrics));
    request_message message{http::verb::post, "/upload", 11};
    message.body() = shared_bytes(std::string(bytes, 'u'));
    message.prepare_payload();
    exchange_options options;
    options.deadline = common::steady_clock::now() + 3s;
    std::optional<exchange_result> result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            // GCC 12 destroys a temporary aggregate in a co_await expression twice, so the options are moved.
            const auto cancelled = std::make_shared<cancellation>();
            const auto response =
                co_await pool.exchange(server, std::move(message), std::move(options), cancelled);
            result = response.map([](const response_message& whole) { return whole.body().to_string(); });
        },
        asio::detached);
    context.run();
    return std::move(*result);
}

// Guards against a success that the target broke off: it responds to an upload with a 200 that has no length
// and resets the connection while the upload is being written. The kernel reports the reset once, to the
// write, and the read then sees a regular end of the connection.
TEST(connection_pool, reset_during_an_upload_does_not_complete_a_response_without_a_length) {
    for (int i = 0; i < 5; ++i) {
        scripted_server server([](tcp::socket& socket, const std::string&) {
            send(socket, head_without_length + "part");
            std::this_thread::sleep_for(50ms);
            // Closing with a linger time of 0 resets the connection.
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
            return false;
        });
        const exchange_result result = upload_to(server.address(), upload_bytes);
        ASSERT_FALSE(result.has_value()) << "took '" << *result << "' for the whole body";
        EXPECT_EQ(result.error().kind, exchange_error_kind::response_lost);
    }
}

// Guards against the rejection of a sound response: the server has read the whole request, and the end of the
// connection delimits the body.
TEST(connection_pool, regular_end_of_the_connection_completes_a_response_without_a_length) {
    scripted_server server([](tcp::socket& socket, const std::string&) {
        send(socket, head_without_length + "whole");
        read_until_silent(socket);
        return false;
    });
    const exchange_result result = upload_to(server.address(), upload_bytes);
    ASSERT_TRUE(result.has_value()) << result.error().detail;
    EXPECT_EQ(*result, "whole");
}

// Guards against the rejection of a response whose server closes its side first and then reads the rest of
// the request.
TEST(connection_pool, response_may_end_before_the_upload) {
    scripted_server server([](tcp::socket& socket, const std::string&) {
        send(socket, head_without_length + "early");
        socket.shutdown(tcp::socket::shutdown_send);
        read_until_silent(socket);
        return false;
    });
    const exchange_result result = upload_to(server.address(), upload_bytes);
    ASSERT_TRUE(result.has_value()) << result.error().detail;
    EXPECT_EQ(*result, "early");
}

} // namespace
} // namespace boragehollow::forwarding
