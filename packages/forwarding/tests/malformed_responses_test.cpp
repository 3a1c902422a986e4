#include "daemon_under_test.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

// Targets whose bytes are no valid response. None of them may reach a caller as a response.
namespace boragehollow::forwarding {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

struct invalid_response {
    const char* name;
    std::string bytes; ///< "%" stands for the id of the request.
};

std::string with_id(std::string bytes, const std::string& id) {
    const std::size_t at = bytes.find('%');
    return at == std::string::npos ? bytes : bytes.replace(at, 1, id);
}

/// Sends each response for its own call and expects an error of the daemon at once: at the deadline of the
/// call it would be 504. The target keeps its connection open unless `close` is set.
void expect_errors(const std::vector<invalid_response>& responses, bool close) {
    for (const invalid_response& response : responses) {
        SCOPED_TRACE(response.name);
        scripted_server target([&](tcp::socket& socket, const std::string& head) {
            send(socket, with_id(response.bytes, header(head, "X-Id")));
            return !close;
        });
        daemon_under_test daemon(target.address());
        raw_client caller(daemon.caller_endpoint());
        caller.write(request("POST", "/order/a", "m", "Content-Length: 0\r\n"));
        const std::string received = caller.read();
        EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
        EXPECT_EQ(header(received, "X-Signature"), "");
    }
}

// Guards against a status that no response has: 000 was taken for an informational response, so that the
// call waited for another one until its deadline, and bytes behind it could reach the caller.
TEST(malformed_responses, status_outside_the_valid_range_is_no_response) {
    std::vector<invalid_response> responses;
    for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
        responses.push_back({status, "HTTP/1.1 " + std::string(status) +
                                         " X\r\nX-Id: %\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"});
    }
    expect_errors(responses, false);
}

std::string response_with_lines(const std::string& first, const std::string& last) {
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    bytes.append(first).append("\r\nX-Id: %\r\nX-Signature: s\r\nContent-Length: 2\r\n");
    return bytes.append(last).append("\r\n\r\nok");
}

// Guards against a header whose name holds a blank or a control character: a lenient parser passes the line
// on, or ends the head there and takes the rest for the body.
TEST(malformed_responses, invalid_character_in_a_header_name_is_no_response) {
    std::vector<invalid_response> responses;
    const std::vector<std::string> lines{"X Fill: a", "X-Fill : a", " X-Fill: a", "\tX-Fill: a", "X\x01Y: a",
                                         "\x01: a",   "X\x7fY: a",  ": a",        "X-Fill",      "X\rY: a"};
    responses.reserve(2 * lines.size());
    for (const std::string& line : lines) {
        responses.push_back({"first line", response_with_lines(line, "X-Fill: b")});
        if (line.front() == ' ' || line.front() == '\t') {
            continue; // As the last line it would continue the line before it, which is valid.
        }
        responses.push_back({"last line", response_with_lines("X-Fill: b", line)});
    }
    expect_errors(responses, false);
}

// Guards against a head that ends in its middle and is taken for a complete one with an empty body.
TEST(malformed_responses, head_that_ends_early_is_no_response) {
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Id: %\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\n";
    std::vector<invalid_response> responses;
    for (std::size_t size = 1; size < whole.size(); size += 4) {
        responses.push_back({"part of a head", whole.substr(0, size)});
    }
    responses.push_back({"without the empty line", whole.substr(0, whole.size() - 2)});
    expect_errors(responses, true);
}

} // namespace
} // namespace boragehollow::forwarding
