#pragma once

#include <string>
#include <string_view>

namespace boragehollow::web {

enum class web_error_kind {
    listen_failed,
    connect_failed, ///< Nothing was sent.
    send_failed,
    timed_out,
    malformed,
    closed,    ///< The peer closed the connection before the response head.
    truncated, ///< The peer closed the connection within the body.
    too_large,
};

struct web_error {
    web_error_kind kind = web_error_kind::closed;
    std::string detail;
};

std::string_view to_string(web_error_kind kind);

} // namespace boragehollow::web
