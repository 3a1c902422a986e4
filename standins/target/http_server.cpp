#include "http_server.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <arpa/inet.h>

#include <array>
#include <cstring>
#include <thread>
#include <utility>

namespace boragehollow::standin {

namespace {

/// Descriptors from this number on are not searched for the socket of a connection.
constexpr int max_descriptors = 4'096;

std::uint16_t peer_port(int descriptor) {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    }
    return address.ss_family == AF_INET ? ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port) : 0;
}

std::uint16_t own_port(int descriptor) {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

const char* reason_phrase(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

} // namespace

connection_socket::connection_socket(const mg_connection* connection) {
    const mg_request_info* info = mg_get_request_info(connection);
    for (int descriptor = 0; descriptor < max_descriptors; ++descriptor) {
        if (peer_port(descriptor) == info->remote_port && own_port(descriptor) == info->server_port) {
            m_descriptor = descriptor;
            return;
        }
    }
}

bool connection_socket::peer_closed() const {
    if (m_descriptor < 0) {
        return false;
    }
    pollfd state{m_descriptor, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void connection_socket::abort() const {
    if (m_descriptor >= 0) {
        shutdown(m_descriptor, SHUT_RDWR);
    }
}

http_server::http_server(const settings& values, handler handle)
    : m_settings(values), m_handler(std::move(handle)) {}

tl::expected<std::unique_ptr<http_server>, std::string> http_server::start(const settings& values,
                                                                           handler handle) {
    std::unique_ptr<http_server> server(new http_server(values, std::move(handle)));
    const std::string listen = common::to_string(values.listen);
    const std::string threads = std::to_string(values.connections);
    std::array<const char*, 13> options{"listening_ports",
                                        listen.c_str(),
                                        "num_threads",
                                        threads.c_str(),
                                        "enable_keep_alive",
                                        "yes",
                                        "keep_alive_timeout_ms",
                                        "30000",
                                        "request_timeout_ms",
                                        "60000",
                                        "tcp_nodelay",
                                        "1",
                                        nullptr};
    mg_callbacks callbacks{};
    callbacks.init_connection = &http_server::on_connection;
    server->m_context = mg_start(&callbacks, server.get(), options.data());
    if (server->m_context == nullptr) {
        return tl::unexpected("cannot listen on " + listen);
    }
    mg_set_request_handler(server->m_context, "/", &http_server::on_request, server.get());
    return server;
}

http_server::~http_server() {
    if (m_context != nullptr) {
        mg_stop(m_context);
    }
}

std::uint16_t http_server::port() const {
    std::array<mg_server_port, 2> ports{};
    const int count = mg_get_server_ports(m_context, static_cast<int>(ports.size()), ports.data());
    return count > 0 ? static_cast<std::uint16_t>(ports.front().port) : m_settings.listen.port;
}

int http_server::on_connection(const mg_connection* connection, void** data) {
    (void)data;
    const auto* self = static_cast<const http_server*>(mg_get_user_data(mg_get_context(connection)));
    std::this_thread::sleep_for(self->m_settings.connection_cost);
    return 0;
}

int http_server::on_request(mg_connection* connection, void* self) {
    return static_cast<http_server*>(self)->m_handler(connection);
}

std::string request_header(const mg_connection* connection, const char* name) {
    const char* value = mg_get_header(connection, name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string query_value(const mg_connection* connection, const char* name) {
    const char* query = mg_get_request_info(connection)->query_string;
    std::array<char, 256> value{};
    if (query == nullptr || mg_get_var(query, std::strlen(query), name, value.data(), value.size()) <= 0) {
        return {};
    }
    return value.data();
}

void send_response(mg_connection* connection, int status, std::string_view type, std::string_view body,
                   std::string_view extra_headers) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
    text += "Content-Type: " + std::string(type) + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += std::string(extra_headers) + "\r\n" + std::string(body);
    mg_write(connection, text.data(), text.size());
}

} // namespace boragehollow::standin
