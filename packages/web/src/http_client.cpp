#include "boragehollow/web/http_client.hpp"

#include <civetweb.h>

#include <array>
#include <charconv>
#include <vector>

namespace boragehollow::web {

namespace {

/// Body buffers of this size are allocated on the heap: CivetWeb's worker threads have 100 KB stacks.
constexpr std::size_t body_buffer_bytes = 16'384;

constexpr std::size_t max_fetched_body_bytes = 64U * 1024U * 1024U;

/// After this time without data CivetWeb returns from a read as if the connection had been closed.
constexpr std::chrono::seconds civetweb_read_timeout{29};

std::string chunk_header(std::size_t size) {
    std::array<char, 18> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    std::string text(digits.data(), error == std::errc() ? end : digits.data());
    return text.append("\r\n");
}

bool response_has_no_body(bool head_request, int status) {
    return head_request || status == 204 || status == 304 || (status >= 100 && status < 200);
}

} // namespace

void client_connection::close_connection::operator()(mg_connection* connection) const {
    mg_close_connection(connection);
}

tl::expected<client_connection, web_error> client_connection::connect(const common::endpoint& server) {
    std::array<char, 256> message{};
    constexpr int no_tls = 0;
    mg_connection* connection =
        mg_connect_client(server.address.c_str(), server.port, no_tls, message.data(), message.size());
    if (connection == nullptr) {
        return tl::unexpected(
            web_error{web_error_kind::connect_failed, common::to_string(server) + ": " + message.data()});
    }
    client_connection result(connection);
    result.m_server = server;
    return result;
}

tl::expected<void, web_error> client_connection::send(std::string_view data) {
    const int written = mg_write(m_connection.get(), data.data(), data.size());
    if (written < 0 || static_cast<std::size_t>(written) != data.size()) {
        m_keep_alive = false;
        return tl::unexpected(web_error{web_error_kind::send_failed, common::to_string(m_server)});
    }
    return {};
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
    m_body_bytes_read = 0;
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

tl::expected<client_response_head, web_error>
client_connection::read_head(std::chrono::milliseconds timeout) {
    std::array<char, 256> message{};
    const common::steady_time started = common::steady_clock::now();
    const int wait = static_cast<int>(std::max<std::int64_t>(1, timeout.count()));
    if (mg_get_response(m_connection.get(), message.data(), message.size(), wait) < 0) {
        const bool timed_out = common::steady_clock::now() - started >= timeout;
        return tl::unexpected(web_error{timed_out ? web_error_kind::timed_out : web_error_kind::closed,
                                        common::to_string(m_server) + ": " + message.data()});
    }
    const mg_response_info* info = mg_get_response_info(m_connection.get());
    if (info == nullptr) {
        return tl::unexpected(web_error{web_error_kind::malformed, "the response head is incomplete"});
    }
    client_response_head head;
    head.status = info->status_code;
    for (int i = 0; i < info->num_headers; ++i) {
        head.headers.push_back({info->http_headers[i].name, info->http_headers[i].value});
    }
    const auto coding = find_header(head.headers, "transfer-encoding");
    m_chunked_response = coding && equal_names(*coding, "chunked");
    const auto length = find_header(head.headers, "content-length");
    if (length && !m_chunked_response) {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(length->data(), length->data() + length->size(), value);
        if (error != std::errc() || end != length->data() + length->size()) {
            return tl::unexpected(web_error{web_error_kind::malformed, "Content-Length is not a number"});
        }
        head.content_length = value;
    }
    m_content_length = head.content_length;
    m_body_complete = response_has_no_body(m_head_request, head.status) || m_content_length == 0U;
    const auto connection = find_header(head.headers, "connection");
    const bool server_closes = connection && equal_names(*connection, "close");
    const bool http_1_0 = info->http_version != nullptr && std::string_view(info->http_version) == "1.0";
    m_keep_alive = !server_closes && !http_1_0 && (m_content_length || m_chunked_response || m_body_complete);
    m_last_used = common::steady_clock::now();
    return head;
}

tl::expected<std::size_t, web_error> client_connection::read(std::span<char> buffer,
                                                             common::steady_time deadline) {
    while (!m_body_complete) {
        const common::steady_time started = common::steady_clock::now();
        const int count = mg_read(m_connection.get(), buffer.data(), buffer.size());
        m_last_used = common::steady_clock::now();
        if (count > 0) {
            m_body_bytes_read += static_cast<std::uint64_t>(count);
            m_body_complete = m_content_length && m_body_bytes_read >= *m_content_length;
            return static_cast<std::size_t>(count);
        }
        const bool read_timed_out = m_last_used - started >= civetweb_read_timeout;
        if (read_timed_out && !m_chunked_response && m_last_used < deadline) {
            continue;
        }
        const bool ends_with_connection = !m_content_length && !m_chunked_response;
        if (count == 0 && (m_chunked_response || ends_with_connection) && !read_timed_out) {
            m_body_complete = true;
            return 0;
        }
        m_keep_alive = false;
        return tl::unexpected(
            web_error{read_timed_out ? web_error_kind::timed_out : web_error_kind::truncated,
                      "the response body ended after " + std::to_string(m_body_bytes_read) + " bytes"});
    }
    return 0;
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
    return m_connection != nullptr && m_body_complete && m_keep_alive;
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
