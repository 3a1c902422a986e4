#include "boragehollow/common/duty.hpp"
#include "boragehollow/transport/udp_socket.hpp"

#include <gtest/gtest.h>

#include <cerrno>

namespace boragehollow::transport {
namespace {

using namespace std::chrono_literals;

common::steady_time after(std::chrono::milliseconds duration) {
    return common::steady_clock::now() + duration;
}

class udp_socket_test : public ::testing::TestWithParam<const char*> {};

// Guards against datagrams that are truncated or carry the wrong sender, with IPv4 or IPv6.
TEST_P(udp_socket_test, datagrams_arrive_whole_with_their_sender) {
    const auto left = udp_socket::bind({GetParam(), 0});
    const auto right = udp_socket::bind({GetParam(), 0});
    ASSERT_TRUE(left && right);
    ASSERT_TRUE(left->send(std::string(1200, 'x'), right->local_endpoint()));
    const auto outcome = right->receive_until(after(5s));
    ASSERT_TRUE(outcome);
    const auto& received = std::get<received_datagram>(*outcome);
    EXPECT_EQ(received.bytes, std::string(1200, 'x'));
    EXPECT_EQ(received.from, left->local_endpoint());
}

INSTANTIATE_TEST_SUITE_P(versions, udp_socket_test, ::testing::Values("127.0.0.1", "::1"));

// Guards against a receiving thread that misses its deadline or a wake-up.
TEST(udp_socket, receive_ends_at_its_deadline_and_by_wake_up) {
    const auto socket = udp_socket::bind({"127.0.0.1", 0});
    ASSERT_TRUE(socket);
    EXPECT_TRUE(std::holds_alternative<receive_timed_out>(*socket->receive_until(after(20ms))));
    common::duty waking("waking", [&](const std::stop_token&) { socket->wake(); });
    EXPECT_TRUE(std::holds_alternative<receive_woken>(*socket->receive_until(after(10s))));
    waking.join();
    // A wake-up that is not reset would make the thread spin.
    EXPECT_TRUE(std::holds_alternative<receive_timed_out>(*socket->receive_until(after(20ms))));
}

// Guards against an error that does not say which operation failed, or for which address.
TEST(udp_socket, errors_name_the_operation_and_the_address) {
    const auto taken = udp_socket::bind({"127.0.0.1", 0});
    ASSERT_TRUE(taken);
    const auto second = udp_socket::bind(taken->local_endpoint());
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().failed, operation::bind);
    EXPECT_EQ(second.error().code, EADDRINUSE);
    EXPECT_NE(to_string(second.error()).find(common::to_string(taken->local_endpoint())), std::string::npos);
    EXPECT_EQ(udp_socket::bind({"example.org", 1}).error().failed, operation::parse_address);
    EXPECT_EQ(taken->send("x", {"::1", 9}).error().failed, operation::send);
}

} // namespace
} // namespace boragehollow::transport
