#pragma once

#include <utility> // Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.

#include "boragehollow/forwarding/shared_body.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <string_view>

/// Aliases for Boost.Asio and Boost.Beast, shared by all files of this library.
namespace boragehollow::forwarding {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using request_message = http::request<shared_body>;
using response_message = http::response<shared_body>;

/// Completion token for coroutines: stores the error of the operation in `error` instead of throwing.
inline auto redirect_error_to(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

/// True when the header states a body above the limit. Checked before memory for the body is taken.
template <class Parser>
bool exceeds_body_limit(const Parser& parser, std::uint64_t max_body_bytes) {
    const auto stated = parser.content_length();
    return stated && *stated > max_body_bytes;
}

inline std::string_view view_of(beast::string_view text) {
    return {text.data(), text.size()};
}

inline beast::string_view beast_view(std::string_view text) {
    return {text.data(), text.size()};
}

} // namespace boragehollow::forwarding
