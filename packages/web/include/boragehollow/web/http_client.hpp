#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/web/error.hpp"
#include "boragehollow/web/headers.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace boragehollow::web {

struct client_response_head {
    int status = 0;
    header_list headers;
    std::optional<std::uint64_t>
        content_length; ///< Empty if the body is chunked or ends when the connection closes.
};

/// Blocking client connection that carries one request at a time and can be reused after a complete exchange.
/// Implemented with Boost.Beast because CivetWeb's client accepts malformed response heads: it takes a header
/// line that begins with a blank or a control character for the end of the head.
class client_connection {
public:
    static tl::expected<client_connection, web_error> connect(const common::endpoint& server);

    client_connection(client_connection&& other) noexcept;
    client_connection& operator=(client_connection&& other) noexcept;
    ~client_connection();

    /// Sends the request line, the headers and the first bytes of the body in one write. The body is sent
    /// chunked if `has_body` is set and no length is given.
    tl::expected<void, web_error> send_request(std::string_view method, std::string_view target,
                                               const header_list& headers, bool has_body,
                                               std::optional<std::uint64_t> content_length,
                                               std::string_view body_prefix = {});
    tl::expected<void, web_error> write(std::string_view data);
    tl::expected<void, web_error> finish_request();

    /// Waits for the response head.
    tl::expected<client_response_head, web_error> read_head(std::chrono::milliseconds timeout);

    /// Reads the next bytes of the response body; returns 0 at its end.
    tl::expected<std::size_t, web_error> read(std::span<char> buffer, common::steady_time deadline);

    /// Reads the complete response body, up to `limit` bytes.
    tl::expected<std::string, web_error> read_all(std::size_t limit, common::steady_time deadline);

    /// True if the response was read to its end and the server keeps the connection open.
    bool reusable() const;
    common::steady_time last_used() const { return m_last_used; }
    const common::endpoint& server() const { return m_server; }

private:
    struct state;

    explicit client_connection(std::unique_ptr<state> connected);

    tl::expected<void, web_error> send(std::string_view data);
    /// Receives more bytes into the buffer; false at the end of the connection.
    tl::expected<bool, web_error> receive(common::steady_time deadline);
    tl::expected<void, web_error> receive_head(common::steady_time deadline);

    std::unique_ptr<state> m_state;
    common::endpoint m_server;
    std::uint64_t m_body_bytes_read = 0;
    common::steady_time m_last_used{};
    bool m_head_request = false;
    bool m_chunked_request = false;
    bool m_send_failed = false;
    bool m_body_complete = false;
    bool m_keep_alive = false;
};

struct client_response {
    int status = 0;
    header_list headers;
    std::string body;
};

/// Sends one request on a new connection and reads the response. For control requests with small bodies.
tl::expected<client_response, web_error> fetch(const common::endpoint& server, std::string_view method,
                                               std::string_view target, const header_list& headers,
                                               std::string_view body, std::chrono::milliseconds timeout);

} // namespace boragehollow::web
