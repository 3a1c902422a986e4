#include "boragehollow/web/error.hpp"

namespace boragehollow::web {

std::string_view to_string(web_error_kind kind) {
    switch (kind) {
    case web_error_kind::listen_failed:
        return "listen_failed";
    case web_error_kind::connect_failed:
        return "connect_failed";
    case web_error_kind::send_failed:
        return "send_failed";
    case web_error_kind::timed_out:
        return "timed_out";
    case web_error_kind::malformed:
        return "malformed";
    case web_error_kind::closed:
        return "closed";
    case web_error_kind::truncated:
        return "truncated";
    case web_error_kind::too_large:
        return "too_large";
    }
    return "unknown";
}

} // namespace boragehollow::web
