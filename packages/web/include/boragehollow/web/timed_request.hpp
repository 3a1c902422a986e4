#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/web/error.hpp"
#include "boragehollow/web/headers.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <stop_token>
#include <string>

namespace boragehollow::web {

struct timed_request_parts {
    std::string method;
    std::string target; ///< Path and query.
    header_list headers;
    std::string body;
};

struct timed_response {
    unsigned status = 0;
    header_list headers;
    std::string body;
};

/// One request on a connection of its own, over within `timeout` whatever the server does. It uses
/// Boost.Beast: CivetWeb's client has no time limit for the body of a response, and a stalled server must not
/// hold a duty. The error kind tells whether anything was sent: `connect_failed` says that nothing was. A
/// stop request ends the wait at once.
tl::expected<timed_response, web_error> timed_request(const common::endpoint& server,
                                                      const timed_request_parts& parts,
                                                      std::chrono::milliseconds timeout,
                                                      const std::stop_token& stop = {});

} // namespace boragehollow::web
