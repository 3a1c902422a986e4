#include "boragehollow/cli/http_client.hpp"

#include "boragehollow/web/http_client.hpp"

#include <vector>

namespace boragehollow::cli {

namespace {

constexpr std::size_t max_read_bytes = 16'384;

/// Limit of a response body. A daemon's responses are far smaller, so a body above the limit comes from
/// another server.
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

tl::unexpected<transport_error> response_lost_error(std::string detail) {
    return tl::unexpected<transport_error>(response_lost{std::move(detail)});
}

/// Passes the body to the sink as it arrives; false if the connection was lost before its end.
bool read_body(web::client_connection& connection, const body_sink& sink) {
    std::vector<char> buffer(max_read_bytes);
    while (true) {
        // A watch has no end, so only the connection ends the read.
        const auto count = connection.read(buffer, common::steady_time::max());
        if (!count) {
            return false;
        }
        if (*count == 0 || !sink({buffer.data(), *count})) {
            return true;
        }
    }
}

tl::expected<http_response, transport_error> perform_request(const common::endpoint& daemon,
                                                             const http_request& request,
                                                             std::chrono::milliseconds timeout,
                                                             const body_sink& sink) {
    auto connection = web::client_connection::connect(daemon);
    if (!connection) {
        return tl::unexpected<transport_error>(not_connected{connection.error().detail});
    }
    web::header_list headers{{"Connection", "close"}};
    const bool has_body = !request.body.empty();
    if (has_body) {
        headers.push_back({"Content-Type", "application/json"});
    }
    const auto sent = connection->send_request(request.method, request.target, headers, has_body,
                                               request.body.size(), request.body);
    if (!sent) {
        return response_lost_error(sent.error().detail);
    }
    const auto head = connection->read_head(timeout);
    if (!head) {
        return response_lost_error(head.error().detail);
    }
    http_response response{head->status, {}};
    const body_sink collect = [&response](std::string_view part) {
        response.body += part;
        return response.body.size() <= max_body_bytes;
    };
    const bool complete = read_body(*connection, head->status == 200 ? sink : collect);
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
    return perform_request(daemon, request, timeout, sink);
}

tl::expected<http_response, transport_error>
send_request(const common::endpoint& daemon, const http_request& request, std::chrono::milliseconds timeout) {
    std::string body;
    const auto collect = [&body](std::string_view part) {
        body += part;
        return body.size() <= max_body_bytes;
    };
    auto response = perform_request(daemon, request, timeout, collect);
    if (body.size() > max_body_bytes) {
        return response_lost_error("the response is too large");
    }
    if (response && response->status == 200) {
        response->body = std::move(body);
    }
    return response;
}

} // namespace boragehollow::cli
