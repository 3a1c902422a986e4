#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace boragehollow::cli {

/// The connection failed, so no byte of the request was sent.
struct not_connected {
    std::string detail;
};

/// The request may have arrived, but no complete response was received.
struct response_lost {
    std::string detail;
};

using transport_error = std::variant<not_connected, response_lost>;

struct http_request {
    std::string method = "GET";
    std::string target; ///< Path and query.
    std::string body{};
};

struct http_response {
    int status = 0;
    std::string body;
};

/// Receives the parts of a body as they arrive; returns false to stop the transfer.
using body_sink = std::function<bool(std::string_view)>;

/// Percent-encodes text for use as one path segment.
std::string percent_encode(std::string_view text);

/// Sends a request on a new connection and reads the response. `timeout` bounds the wait for the response
/// head.
tl::expected<http_response, transport_error>
send_request(const common::endpoint& daemon, const http_request& request, std::chrono::milliseconds timeout);

/// Like `send_request`, for a response body of unbounded length: the body of a 200 response goes to the sink,
/// any other body into the result.
tl::expected<http_response, transport_error> stream_request(const common::endpoint& daemon,
                                                            const http_request& request,
                                                            std::chrono::milliseconds timeout,
                                                            const body_sink& sink);

} // namespace boragehollow::cli
