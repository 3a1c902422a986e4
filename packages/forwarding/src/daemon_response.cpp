#include "boragehollow/forwarding/daemon_response.hpp"

#include <array>
#include <cstdio>
#include <string>

namespace boragehollow::forwarding {

namespace {

std::string format_seconds(std::chrono::milliseconds value) {
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(value).count());
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

response_message make_daemon_response(std::string_view id_header, std::string_view id, http::status status,
                                      std::chrono::milliseconds retry_after) {
    response_message response{status, 11};
    if (!id.empty()) {
        response.set(beast_view(id_header), beast_view(id));
    }
    if (retry_after.count() > 0) {
        response.set(http::field::retry_after, format_seconds(retry_after));
    }
    response.prepare_payload();
    return response;
}

} // namespace boragehollow::forwarding
