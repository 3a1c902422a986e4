#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace boragehollow::cli {

/// No byte of the request left this host.
struct not_connected {
    std::string detail;
};

/// The request may have arrived, but its answer did not, or not completely.
struct no_answer {
    std::string detail;
};

using transport_error = std::variant<not_connected, no_answer>;

struct http_request {
    std::string method = "GET";
    std::string target; ///< Path and query.
    std::string body{};
};

struct http_response {
    int status = 0;
    std::string body;
};

/// Receives the parts of a body as they arrive; returns false to end the transfer.
using body_sink = std::function<bool(std::string_view)>;

/// Text as one segment of a path.
std::string percent_encode(std::string_view text);

/// One request on its own connection. `timeout` bounds the wait for the response head.
tl::expected<http_response, transport_error>
send_request(const common::endpoint& daemon, const http_request& request, std::chrono::milliseconds timeout);

/// The same for a body without an end. The sink gets the body of a 200 response, the result any other body.
tl::expected<http_response, transport_error> stream_request(const common::endpoint& daemon,
                                                            const http_request& request,
                                                            std::chrono::milliseconds timeout,
                                                            const body_sink& sink);

} // namespace boragehollow::cli
