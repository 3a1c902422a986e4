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

/// One request on a connection of its own, over within `timeout` whatever the server does. It uses
/// Boost.Beast: CivetWeb's client has no time limit for the body of a response, and a stalled server must not
/// hold a duty. The error kind tells whether anything was sent: `connect_failed` says that nothing was. A
/// stop request ends the wait at once.
tl::expected<http_response, web_error> perform_request(const common::endpoint& server,
                                                       const http_request& parts,
                                                       std::chrono::milliseconds timeout,
                                                       const std::stop_token& stop = {});

} // namespace boragehollow::web
