#pragma once

#include "boragehollow/forwarding/asio.hpp"

#include <chrono>
#include <string_view>

namespace boragehollow::forwarding {

/// Response that a daemon gives to a caller in place of a target. `id` is sent back in the header `id_header`
/// unless it is empty, and `retry_after` is stated unless it is 0.
response_message make_daemon_response(std::string_view id_header, std::string_view id, http::status status,
                                      std::chrono::milliseconds retry_after);

} // namespace boragehollow::forwarding
