#include "boragehollow/web/http_client.hpp"
#include "boragehollow/web/http_request.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <utility>
#include <vector>

// Servers whose bytes are no valid response, read by both clients of this library.
namespace boragehollow::web {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

/// Accepts `connections` connections, reads a request head on each, writes the same bytes and closes it.
class one_response_server {
public:
    one_response_server(std::string bytes, int connections)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, bytes = std::move(bytes), connections] {
              for (int i = 0; i < connections; ++i) {
                  tcp::socket socket(m_context);
                  m_acceptor.accept(socket);
                  std::string head;
                  boost::system::error_code ignored;
                  asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", ignored);
                  asio::write(socket, asio::buffer(bytes), ignored);
              }
          }) {}

    common::endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::jthread m_thread;
};

/// Each client sends one request to a server that responds with `bytes`.
void expect_no_response(const std::string& bytes) {
    SCOPED_TRACE(bytes);
    const one_response_server server(bytes, 2);
    const auto fetched = fetch(server.address(), "GET", "/", {}, "", 2s);
    EXPECT_FALSE(fetched) << fetched->status << " '" << fetched->body << "'";
    const auto performed = perform_request(server.address(), {"GET", "/", {}, {}}, 2s);
    EXPECT_FALSE(performed) << performed->status << " '" << performed->body << "'";
}

const std::string rest_of_response = "Content-Length: 2\r\n\r\nok";

// Guards against a status such as 000 that is taken for that of a response.
TEST(malformed_responses, status_outside_the_valid_range_is_no_response) {
    for (const char* status : {"000", "099", "101", "600", "999", "20", "2000", "abc"}) {
        expect_no_response("HTTP/1.1 " + std::string(status) + " X\r\n" + rest_of_response);
    }
}

// Guards against a header whose name holds a blank or a control character: CivetWeb takes such a line for the
// end of the head, and the rest of the head for the body.
TEST(malformed_responses, invalid_character_in_a_header_name_is_no_response) {
    for (const char* line : {"X Fill: a", "X-Fill : a", " X-Fill: a", "\tX-Fill: a", "X\x01Y: a", "\x01: a",
                             "X\x7fY: a", ": a", "X-Fill"}) {
        expect_no_response("HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\n" + rest_of_response);
    }
}

// Guards against a head that ends in its middle and is taken for a complete one with an empty body.
TEST(malformed_responses, head_that_ends_early_is_no_response) {
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Fill: a\r\n" + rest_of_response;
    const std::size_t head_size = whole.find("\r\n\r\n") + 4;
    for (std::size_t size = 1; size < head_size; size += 3) {
        expect_no_response(whole.substr(0, size));
    }
    expect_no_response(whole.substr(0, head_size - 2));
}

// Guards against an informational response that is taken for the final one.
TEST(malformed_responses, informational_response_is_skipped) {
    const one_response_server server(
        "HTTP/1.1 103 Early Hints\r\nX-Fill: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest_of_response, 1);
    const auto response = fetch(server.address(), "GET", "/", {}, "", 2s);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "ok");
}

// Guards against a reset that is taken for the end of a response without a length: the kernel reports the
// reset to the write of the request, and the read then sees a regular end of the connection.
TEST(malformed_responses, reset_during_an_upload_does_not_complete_a_response_without_a_length) {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const std::jthread server([&] {
        tcp::socket socket(context);
        acceptor.accept(socket);
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")), ignored);
        std::this_thread::sleep_for(50ms);
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    auto connection = client_connection::connect({"127.0.0.1", acceptor.local_endpoint().port()});
    ASSERT_TRUE(connection);
    const std::string body(16UL * 1024 * 1024, 'u');
    ASSERT_TRUE(connection->send_request("POST", "/", {}, true, body.size()));
    EXPECT_FALSE(connection->write(body));
    const auto head = connection->read_head(2s);
    const auto received = head ? connection->read_all(1'000, common::steady_clock::now() + 2s)
                               : tl::expected<std::string, web_error>(tl::unexpect, head.error());
    EXPECT_FALSE(received) << "took '" << *received << "' for the whole body";
}

} // namespace
} // namespace boragehollow::web
