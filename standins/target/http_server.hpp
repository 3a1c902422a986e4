#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <civetweb.h>
#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boragehollow::standin {

/// Socket of a server connection. CivetWeb does not expose the descriptor, and its write calls detect too
/// late that the peer has disconnected, so the socket is found among the descriptors of this process by its
/// port numbers.
class connection_socket {
public:
    explicit connection_socket(const mg_connection* connection);

    /// Returns true if the peer has closed the connection.
    bool peer_closed() const;

    /// Shuts the connection down at once, even during a transfer.
    void abort() const;

private:
    int m_descriptor = -1;
};

/// CivetWeb server that passes every request to a handler, which sends the response and returns its HTTP
/// status.
class http_server {
public:
    using handler = std::function<int(mg_connection*)>;

    struct settings {
        common::endpoint listen;
        std::uint32_t connections = 130;
        std::chrono::microseconds connection_cost{0}; ///< Delay for every new connection.
    };

    static tl::expected<std::unique_ptr<http_server>, std::string> start(const settings& values,
                                                                         handler handle);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    std::uint16_t port() const;

private:
    http_server(const settings& values, handler handle);
    static int on_connection(const mg_connection* connection, void** data);
    static int on_request(mg_connection* connection, void* self);

    settings m_settings;
    handler m_handler;
    mg_context* m_context = nullptr;
};

std::string request_header(const mg_connection* connection, const char* name);
std::string query_value(const mg_connection* connection, const char* name);

/// Sends a complete response with a short body.
void send_response(mg_connection* connection, int status, std::string_view type, std::string_view body,
                   std::string_view extra_headers = {});

} // namespace boragehollow::standin
