#include "boragehollow/cli/http_client.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>

namespace boragehollow::cli {

namespace {

/// Limit of a response body. A daemon's responses are far smaller, so a body above the limit comes from
/// another server.
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

class civetweb_library {
public:
    civetweb_library() { mg_init_library(MG_FEATURES_DEFAULT); }
    ~civetweb_library() { mg_exit_library(); }

    civetweb_library(const civetweb_library&) = delete;
    civetweb_library& operator=(const civetweb_library&) = delete;
};

struct connection_closer {
    void operator()(mg_connection* connection) const { mg_close_connection(connection); }
};

using connection_handle = std::unique_ptr<mg_connection, connection_closer>;

std::string request_text(const common::endpoint& daemon, const http_request& request) {
    std::string text = request.method + " " + request.target +
                       " HTTP/1.1\r\nHost: " + common::to_string(daemon) + "\r\nConnection: close\r\n";
    if (!request.body.empty()) {
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
                "\r\n";
    }
    return text + "\r\n" + request.body;
}

tl::unexpected<transport_error> response_lost_error(std::string detail) {
    return tl::unexpected<transport_error>(response_lost{std::move(detail)});
}

/// Reads the body in blocks of at most `read_size` bytes until it ends or the sink stops the transfer. With a
/// negative `length` the body ends where `mg_read` reports the end. Returns false if the connection was lost
/// before. `mg_read` blocks until it has all bytes requested, so a streamed body is read byte by byte.
bool read_body(mg_connection* connection, long long length, std::size_t read_size, const body_sink& sink) {
    std::array<char, 16'384> buffer{};
    long long total = 0;
    while (length < 0 || total < length) {
        const int count = mg_read(connection, buffer.data(), std::min(read_size, buffer.size()));
        if (count < 0) {
            return false;
        }
        if (count == 0) {
            return length < 0;
        }
        total += count;
        if (!sink({buffer.data(), static_cast<std::size_t>(count)})) {
            return true;
        }
    }
    return true;
}

tl::expected<http_response, transport_error> perform_request(const common::endpoint& daemon,
                                                             const http_request& request,
                                                             std::chrono::milliseconds timeout,
                                                             std::size_t read_size, const body_sink& sink) {
    static const civetweb_library library;
    std::array<char, 256> error{};
    const connection_handle connection(
        mg_connect_client(daemon.address.c_str(), daemon.port, 0, error.data(), error.size()));
    if (!connection) {
        return tl::unexpected<transport_error>(not_connected{error.data()});
    }
    const std::string text = request_text(daemon, request);
    if (mg_write(connection.get(), text.data(), text.size()) != static_cast<int>(text.size())) {
        return response_lost_error("the connection was lost while sending the request");
    }
    const auto timeout_ms =
        std::min<std::chrono::milliseconds::rep>(timeout.count(), std::numeric_limits<int>::max());
    if (mg_get_response(connection.get(), error.data(), error.size(), static_cast<int>(timeout_ms)) < 0) {
        return response_lost_error(error.data());
    }
    const mg_response_info* info = mg_get_response_info(connection.get());
    http_response response{info->status_code, {}};
    const body_sink collect = [&response](std::string_view part) {
        response.body += part;
        return response.body.size() <= max_body_bytes;
    };
    const bool complete = read_body(connection.get(), info->content_length, read_size,
                                    info->status_code == 200 ? sink : collect);
    if (!complete || response.body.size() > max_body_bytes) {
        return response_lost_error("the response is incomplete");
    }
    return response;
}

} // namespace

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool is_alnum = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (is_alnum || unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
    return encoded;
}

tl::expected<http_response, transport_error> stream_request(const common::endpoint& daemon,
                                                            const http_request& request,
                                                            std::chrono::milliseconds timeout,
                                                            const body_sink& sink) {
    return perform_request(daemon, request, timeout, 1, sink);
}

tl::expected<http_response, transport_error>
send_request(const common::endpoint& daemon, const http_request& request, std::chrono::milliseconds timeout) {
    std::string body;
    const auto collect = [&body](std::string_view part) {
        body += part;
        return body.size() <= max_body_bytes;
    };
    auto response = perform_request(daemon, request, timeout, max_body_bytes, collect);
    if (body.size() > max_body_bytes) {
        return response_lost_error("the response is too large");
    }
    if (response && response->status == 200) {
        response->body = std::move(body);
    }
    return response;
}

} // namespace boragehollow::cli
