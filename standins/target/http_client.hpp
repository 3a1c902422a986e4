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

struct http_request {
    std::string method = "GET";
    std::string target = "/";
    std::string host; ///< Host header; the server's address when empty.
    std::vector<std::pair<std::string, std::string>> headers;
    std::uint64_t body_size = 0;
    bool chunked = false;
    /// Fills the next piece of the body.
    std::function<void(std::span<char>)> body;
};

/// Where a request failed. Only a failure to connect tells that nothing was sent.
enum class client_failure { not_connected, broken_sending, no_response, broken_response };

struct http_response {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::uint64_t body_size = 0;

    std::string header(std::string_view name) const;
};

/// One connection to an HTTP server, for one request after another.
class http_client {
public:
    static tl::expected<http_client, client_failure> connect(const common::endpoint& server);

    /// Sends the request and reads the whole response; `receive` gets the pieces of its body.
    tl::expected<http_response, client_failure>
    send(const http_request& request, std::chrono::milliseconds timeout,
         const std::function<void(std::span<const char>)>& receive);

    /// False when the connection cannot take another request.
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
