#include "boragehollow/web/http_client.hpp"

#include "boragehollow/common/response_status.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace boragehollow::web {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::ip::tcp;
using error_code = boost::system::error_code;
using response_parser = http::response_parser<http::buffer_body>;

/// Body buffers of this size are allocated on the heap: CivetWeb's worker threads have 100 KB stacks.
constexpr std::size_t body_buffer_bytes = 16'384;

constexpr std::size_t max_fetched_body_bytes = 64U * 1024U * 1024U;

constexpr std::uint32_t max_head_bytes = 64 * 1024;

/// Bytes that are received but not yet parsed. The parser alone does not limit a chunk extension.
constexpr std::size_t max_unparsed_bytes = 256 * 1024;

constexpr std::size_t max_read_bytes = 16 * 1024;

constexpr std::chrono::seconds connect_timeout{10};

/// A server that reads nothing for this time is taken for dead.
constexpr std::chrono::seconds send_timeout{30};

/// Owns the sockets' services only: all waits are poll() calls on the calling thread.
asio::io_context& socket_context() {
    static asio::io_context context;
    return context;
}

/// Waits until the socket is ready for `events`; false at the deadline.
bool wait_for(tcp::socket& socket, short events, common::steady_time deadline) {
    while (true) {
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(deadline - common::steady_clock::now());
        if (left.count() <= 0) {
            return false;
        }
        constexpr std::chrono::milliseconds max_wait{60'000};
        pollfd entry{socket.native_handle(), events, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(std::min(left, max_wait).count()));
        if (ready > 0 || (ready < 0 && errno != EINTR)) {
            return true;
        }
    }
}

std::string chunk_header(std::size_t size) {
    std::array<char, 18> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    std::string text(digits.data(), error == std::errc() ? end : digits.data());
    return text.append("\r\n");
}

} // namespace

struct client_connection::state {
    explicit state(tcp::socket connected) : socket(std::move(connected)) {}

    tcp::socket socket;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<response_parser> parser; ///< Of the current response.
};

client_connection::client_connection(std::unique_ptr<state> connected) : m_state(std::move(connected)) {}
client_connection::client_connection(client_connection&& other) noexcept = default;
client_connection& client_connection::operator=(client_connection&& other) noexcept = default;
client_connection::~client_connection() = default;

tl::expected<client_connection, web_error> client_connection::connect(const common::endpoint& server) {
    const auto failed = [&server](const std::string& detail) {
        return tl::unexpected(
            web_error{web_error_kind::connect_failed, common::to_string(server) + ": " + detail});
    };
    error_code error;
    const auto address = asio::ip::make_address(server.address, error);
    if (error) {
        return failed("not an IP address");
    }
    const tcp::endpoint remote(address, server.port);
    tcp::socket socket(socket_context());
    socket.open(remote.protocol(), error);
    if (!error) {
        socket.non_blocking(true, error);
    }
    // Asio's own connect would wait without a limit, also on a socket that does not block.
    if (!error && ::connect(socket.native_handle(), remote.data(), remote.size()) != 0) {
        error = error_code(errno, boost::system::system_category());
    }
    if (error == asio::error::in_progress) {
        if (!wait_for(socket, POLLOUT, common::steady_clock::now() + connect_timeout)) {
            return failed("timed out");
        }
        int result = 0;
        socklen_t size = sizeof result;
        ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &result, &size);
        error = error_code(result, boost::system::system_category());
    }
    if (!error) {
        socket.set_option(tcp::no_delay(true), error);
    }
    if (error) {
        return failed(error.message());
    }
    client_connection result(std::make_unique<state>(std::move(socket)));
    result.m_server = server;
    return result;
}

tl::expected<void, web_error> client_connection::send(std::string_view data) {
    const common::steady_time deadline = common::steady_clock::now() + send_timeout;
    std::string detail;
    while (!data.empty() && detail.empty()) {
        const ssize_t sent = ::send(m_state->socket.native_handle(), data.data(), data.size(), MSG_NOSIGNAL);
        if (sent >= 0) {
            data.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        const error_code error(errno, boost::system::system_category());
        if (error != asio::error::would_block && error != asio::error::interrupted) {
            detail = error.message();
        } else if (!wait_for(m_state->socket, POLLOUT, deadline)) {
            detail = "the server does not read the request";
        }
    }
    if (detail.empty()) {
        return {};
    }
    m_send_failed = true;
    m_keep_alive = false;
    return tl::unexpected(
        web_error{web_error_kind::send_failed, common::to_string(m_server) + ": " + detail});
}

tl::expected<void, web_error> client_connection::send_request(std::string_view method,
                                                              std::string_view target,
                                                              const header_list& headers, bool has_body,
                                                              std::optional<std::uint64_t> content_length,
                                                              std::string_view body_prefix) {
    m_head_request = method == "HEAD";
    m_chunked_request = has_body && !content_length;
    m_body_complete = false;
    m_keep_alive = false;
    m_send_failed = false;
    m_body_bytes_read = 0;
    m_state->parser.reset();
    std::string text;
    text.reserve(512 + body_prefix.size());
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    if (!find_header(headers, "host")) {
        text.append("Host: ").append(common::to_string(m_server)).append("\r\n");
    }
    for (const header& entry : headers) {
        text.append(entry.name).append(": ").append(entry.value).append("\r\n");
    }
    if (m_chunked_request) {
        text.append("Transfer-Encoding: chunked\r\n");
    } else if (content_length && (has_body || *content_length == 0)) {
        text.append("Content-Length: ").append(std::to_string(*content_length)).append("\r\n");
    }
    text.append("\r\n");
    if (m_chunked_request && !body_prefix.empty()) {
        text.append(chunk_header(body_prefix.size())).append(body_prefix).append("\r\n");
    } else {
        text.append(body_prefix);
    }
    return send(text);
}

tl::expected<void, web_error> client_connection::write(std::string_view data) {
    if (data.empty()) {
        return {};
    }
    if (!m_chunked_request) {
        return send(data);
    }
    return send(chunk_header(data.size()).append(data).append("\r\n"));
}

tl::expected<void, web_error> client_connection::finish_request() {
    if (!m_chunked_request) {
        return {};
    }
    return send("0\r\n\r\n");
}

tl::expected<bool, web_error> client_connection::receive(common::steady_time deadline) {
    const bool in_body = m_state->parser->is_header_done();
    const auto failed = [this](web_error_kind kind, const std::string& detail) {
        return tl::unexpected(web_error{kind, common::to_string(m_server) + ": " + detail});
    };
    beast::flat_buffer& buffer = m_state->buffer;
    const std::size_t room = std::min(buffer.max_size() - buffer.size(), max_read_bytes);
    if (room == 0) {
        return failed(web_error_kind::malformed, "the framing of the response is too large");
    }
    const auto space = buffer.prepare(room);
    while (true) {
        const ssize_t received =
            ::recv(m_state->socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
        if (received > 0) {
            buffer.commit(static_cast<std::size_t>(received));
            m_last_used = common::steady_clock::now();
            return true;
        }
        if (received == 0) {
            return false;
        }
        const error_code error(errno, boost::system::system_category());
        if (error != asio::error::would_block && error != asio::error::interrupted) {
            return failed(in_body ? web_error_kind::truncated : web_error_kind::closed, error.message());
        }
        if (!wait_for(m_state->socket, POLLIN, deadline)) {
            return failed(web_error_kind::timed_out, "no further bytes of the response");
        }
    }
}

/// Reads until the head of the final response is complete.
tl::expected<void, web_error> client_connection::receive_head(common::steady_time deadline) {
    while (true) {
        m_state->parser.emplace();
        response_parser& parser = *m_state->parser;
        parser.header_limit(max_head_bytes);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser.skip(m_head_request);
        while (!parser.is_header_done()) {
            error_code error = http::error::need_more;
            if (m_state->buffer.size() > 0) {
                m_state->buffer.consume(parser.put(m_state->buffer.data(), error));
            }
            if (error == http::error::need_more) {
                const auto received = receive(deadline);
                if (!received) {
                    return tl::unexpected(received.error());
                }
                if (!*received) {
                    return tl::unexpected(web_error{web_error_kind::closed, "within the response head"});
                }
            } else if (error) {
                return tl::unexpected(web_error{web_error_kind::malformed, error.message()});
            }
        }
        const unsigned status = parser.get().result_int();
        if (common::is_final_status(status)) {
            return {};
        }
        if (!common::is_informational(status)) {
            return tl::unexpected(
                web_error{web_error_kind::malformed, "invalid status " + std::to_string(status)});
        }
    }
}

tl::expected<client_response_head, web_error>
client_connection::read_head(std::chrono::milliseconds timeout) {
    const auto received = receive_head(common::steady_clock::now() + timeout);
    if (!received) {
        return tl::unexpected(received.error());
    }
    const response_parser& parser = *m_state->parser;
    client_response_head head;
    head.status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get()) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    if (const auto length = parser.content_length()) {
        head.content_length = *length;
    }
    m_body_complete = parser.is_done();
    m_keep_alive = parser.keep_alive();
    m_last_used = common::steady_clock::now();
    return head;
}

tl::expected<std::size_t, web_error> client_connection::read(std::span<char> buffer,
                                                             common::steady_time deadline) {
    if (m_body_complete) {
        return 0;
    }
    response_parser& parser = *m_state->parser;
    auto& body = parser.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    const auto failed = [this](web_error error) {
        m_keep_alive = false;
        error.detail =
            "the response body ended after " + std::to_string(m_body_bytes_read) + " bytes; " + error.detail;
        return tl::unexpected(std::move(error));
    };
    while (body.size == buffer.size() && !parser.is_done()) {
        error_code error = http::error::need_more;
        if (m_state->buffer.size() > 0) {
            m_state->buffer.consume(parser.put(m_state->buffer.data(), error));
        }
        if (error && error != http::error::need_more && error != http::error::need_buffer) {
            return failed({web_error_kind::malformed, error.message()});
        }
        const bool needs_bytes = error == http::error::need_more || m_state->buffer.size() == 0;
        if (body.size < buffer.size() || parser.is_done() || !needs_bytes) {
            continue;
        }
        const auto received = receive(deadline);
        if (!received) {
            return failed(received.error());
        }
        if (*received) {
            continue;
        }
        // After a failed write the end of the connection may be a reset, which the kernel reports only once.
        if (!parser.need_eof() || m_send_failed) {
            return failed({web_error_kind::truncated, "the server closed the connection"});
        }
        parser.put_eof(error);
    }
    const std::size_t count = buffer.size() - body.size;
    m_body_bytes_read += count;
    m_body_complete = parser.is_done();
    return count;
}

tl::expected<std::string, web_error> client_connection::read_all(std::size_t limit,
                                                                 common::steady_time deadline) {
    std::string body;
    std::vector<char> buffer(body_buffer_bytes);
    while (true) {
        const auto count = read(buffer, deadline);
        if (!count) {
            return tl::unexpected(count.error());
        }
        if (*count == 0) {
            return body;
        }
        body.append(buffer.data(), *count);
        if (body.size() > limit) {
            m_keep_alive = false;
            return tl::unexpected(web_error{web_error_kind::too_large,
                                            "response body exceeds " + std::to_string(limit) + " bytes"});
        }
    }
}

bool client_connection::reusable() const {
    return m_body_complete && m_keep_alive && m_state->buffer.size() == 0;
}

tl::expected<client_response, web_error> fetch(const common::endpoint& server, std::string_view method,
                                               std::string_view target, const header_list& headers,
                                               std::string_view body, std::chrono::milliseconds timeout) {
    const common::steady_time deadline = common::steady_clock::now() + timeout;
    auto connection = client_connection::connect(server);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    const bool has_body = !body.empty() || method == "POST" || method == "PUT";
    header_list request_headers = headers;
    request_headers.push_back({"Connection", "close"});
    const auto sent = connection->send_request(method, target, request_headers, has_body, body.size(), body);
    if (!sent) {
        return tl::unexpected(sent.error());
    }
    auto head = connection->read_head(timeout);
    if (!head) {
        return tl::unexpected(head.error());
    }
    auto content = connection->read_all(max_fetched_body_bytes, deadline);
    if (!content) {
        return tl::unexpected(content.error());
    }
    return client_response{head->status, std::move(head->headers), std::move(*content)};
}

} // namespace boragehollow::web
