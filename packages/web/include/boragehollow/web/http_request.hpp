#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/web/error.hpp"
#include "boragehollow/web/headers.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <stop_token>
#include <string>

namespace boragehollow::web {

struct http_request {
    std::string method;
    std::string target; ///< Path and query.
    header_list headers;
    std::string body;
};

struct http_response {
    unsigned status = 0;
    header_list headers;
    std::string body;
};

/// Sends one request on a new connection and returns its response within `timeout`, even if the server
/// stalls. Implemented with Boost.Beast because CivetWeb's client has no timeout for the response body, and a
/// stalled server must not block a duty. `connect_failed` means that nothing was sent. A stop request ends
/// the wait immediately.
tl::expected<http_response, web_error> perform_request(const common::endpoint& server,
                                                       const http_request& request,
                                                       std::chrono::milliseconds timeout,
                                                       const std::stop_token& stop = {});

} // namespace boragehollow::web
