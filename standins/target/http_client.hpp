#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <civetweb.h>
#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace boragehollow::standin {

/// Request whose body is generated while it is sent.
struct http_request {
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    std::string host;         ///< Host header; the address of the server if empty.
    std::vector<std::pair<std::string, std::string>> headers;
    std::uint64_t body_size = 0;
    bool chunked = false;
    /// Fills the buffer with the next bytes of the body.
    std::function<void(std::span<char>)> body;
};

/// Stage at which a request failed. Only `not_connected` guarantees that nothing was sent.
enum class client_failure { not_connected, broken_sending, no_response, broken_response };

/// Head and body size of a response.
struct http_response {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::uint64_t body_size = 0;

    /// Returns the value of a header, ignoring case; empty if it is missing.
    std::string header(std::string_view name) const;
};

/// Connection to an HTTP server that carries one request at a time.
class http_client {
public:
    static tl::expected<http_client, client_failure> connect(const common::endpoint& server);

    /// Sends the request and reads the whole response, passing its body to `receive` in blocks.
    tl::expected<http_response, client_failure>
    send(const http_request& request, std::chrono::milliseconds timeout,
         const std::function<void(std::span<const char>)>& receive);

    /// Returns false if the connection cannot be used for another request.
    bool reusable() const { return m_reusable; }

private:
    struct close_connection {
        void operator()(mg_connection* connection) const { mg_close_connection(connection); }
    };

    explicit http_client(mg_connection* connection, std::string host);
    bool write_request(std::string head, const http_request& request);
    bool read_body(http_response& response, const std::function<void(std::span<const char>)>& receive);

    std::unique_ptr<mg_connection, close_connection> m_connection;
    std::string m_host;
    bool m_reusable = true;
};

} // namespace boragehollow::standin
