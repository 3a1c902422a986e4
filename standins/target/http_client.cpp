#include "http_client.hpp"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace boragehollow::standin {

namespace {

constexpr std::size_t block_size = 65'536;

} // namespace

std::string http_response::header(std::string_view name) const {
    const std::string wanted(name);
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), wanted.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

http_client::http_client(mg_connection* connection, std::string host)
    : m_connection(connection), m_host(std::move(host)) {}

tl::expected<http_client, client_failure> http_client::connect(const common::endpoint& server) {
    std::array<char, 256> error{};
    mg_connection* connection =
        mg_connect_client(server.address.c_str(), server.port, 0, error.data(), error.size());
    if (connection == nullptr) {
        return tl::unexpected(client_failure::not_connected);
    }
    return http_client(connection, common::to_string(server));
}

bool http_client::write_request(std::string head, const http_request& request) {
    // The head is written together with the first block of the body, and each chunk together with its
    // framing: the connection does not set TCP_NODELAY, so a small second write would wait 40 ms for a
    // delayed acknowledgement.
    std::string buffer = std::move(head);
    std::uint64_t sent = 0;
    while (true) {
        const std::size_t size = std::min<std::uint64_t>(block_size, request.body_size - sent);
        if (request.chunked && size > 0) {
            std::array<char, 24> frame{};
            std::snprintf(frame.data(), frame.size(), "%zx\r\n", size);
            buffer += frame.data();
        }
        const std::size_t filled = buffer.size();
        buffer.resize(filled + size);
        if (size > 0) {
            request.body(std::span<char>(buffer.data() + filled, size));
        }
        sent += size;
        const bool last = sent >= request.body_size;
        if (request.chunked) {
            buffer += size > 0 ? "\r\n" : "";
            buffer += last ? "0\r\n\r\n" : "";
        }
        if (mg_write(m_connection.get(), buffer.data(), buffer.size()) != static_cast<int>(buffer.size())) {
            return false;
        }
        if (last) {
            return true;
        }
        buffer.clear();
    }
}

bool http_client::read_body(http_response& response,
                            const std::function<void(std::span<const char>)>& receive) {
    std::vector<char> block(block_size);
    int got = 0;
    while ((got = mg_read(m_connection.get(), block.data(), block.size())) > 0) {
        response.body_size += static_cast<std::uint64_t>(got);
        if (receive) {
            receive(std::span<const char>(block.data(), static_cast<std::size_t>(got)));
        }
    }
    const mg_response_info* info = mg_get_response_info(m_connection.get());
    const bool complete =
        info->content_length < 0 || response.body_size == static_cast<std::uint64_t>(info->content_length);
    return got == 0 && complete;
}

tl::expected<http_response, client_failure>
http_client::send(const http_request& request, std::chrono::milliseconds timeout,
                  const std::function<void(std::span<const char>)>& receive) {
    m_reusable = false;
    const std::string& host = request.host.empty() ? m_host : request.host;
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : request.headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    if (request.chunked) {
        head += "Transfer-Encoding: chunked\r\n";
    } else if (request.body) {
        head += "Content-Length: " + std::to_string(request.body_size) + "\r\n";
    }
    head += "\r\n";
    mg_connection* connection = m_connection.get();
    // A server may respond and close before it has read the whole body, so the response is read even if
    // sending failed.
    const bool sent = write_request(std::move(head), request);
    std::array<char, 256> error{};
    const auto wait = static_cast<int>(timeout.count());
    if (mg_get_response(connection, error.data(), error.size(), wait) < 0) {
        return tl::unexpected(sent ? client_failure::no_response : client_failure::broken_sending);
    }
    const mg_response_info* info = mg_get_response_info(connection);
    http_response response;
    response.status = info->status_code;
    for (int i = 0; i < info->num_headers; ++i) {
        response.headers.emplace_back(info->http_headers[i].name, info->http_headers[i].value);
    }
    if (!read_body(response, receive)) {
        return tl::unexpected(client_failure::broken_response);
    }
    m_reusable = sent && strcasecmp(response.header("connection").c_str(), "close") != 0;
    return response;
}

} // namespace boragehollow::standin
