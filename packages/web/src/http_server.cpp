#include "boragehollow/web/http_server.hpp"

#include "boragehollow/common/scope_guard.hpp"
#include "boragehollow/web/http_client.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>
#include <vector>

namespace boragehollow::web {

namespace {

/// Body buffers of this size are allocated on the heap: CivetWeb's worker threads have 100 KB stacks.
constexpr std::size_t body_buffer_bytes = 16'384;

/// An unread rest of a body up to this size is discarded, and the connection is kept; beyond it is closed.
constexpr std::uint64_t max_discarded_body_bytes = 65'536;

/// Limit on the unread bytes that are read before a connection is closed, so that the client gets the
/// response.
constexpr std::uint64_t max_lingering_body_bytes = 4'194'304;

constexpr std::chrono::milliseconds stop_wakeup_interval{20};

std::optional<std::uint64_t> parse_length(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Initializes CivetWeb once per process: its reference count is not thread-safe.
struct library_guard {
    library_guard() { mg_init_library(MG_FEATURES_DEFAULT); }
    ~library_guard() { mg_exit_library(); }
    library_guard(const library_guard&) = delete;
    library_guard& operator=(const library_guard&) = delete;
};

void initialize_library() {
    static const library_guard library;
}

std::string listening_port(const common::endpoint& listen) {
    return common::to_string(listen);
}

std::string chunk(std::string_view data) {
    std::array<char, 16> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16);
    std::string text(digits.data(), error == std::errc() ? end : digits.data());
    text.reserve(text.size() + data.size() + 4);
    text.append("\r\n").append(data).append("\r\n");
    return text;
}

} // namespace

server_exchange::server_exchange(mg_connection* connection) : m_connection(connection) {
    const mg_request_info* info = mg_get_request_info(connection);
    m_method = info->request_method;
    m_remote_address = info->remote_addr;
    m_http_1_0 = std::string_view(info->http_version) == "1.0";
    std::string_view uri = info->request_uri == nullptr ? std::string_view("/") : info->request_uri;
    if (uri.empty() || uri.front() != '/') {
        const std::size_t scheme = uri.find("://");
        const std::size_t slash =
            scheme == std::string_view::npos ? std::string_view::npos : uri.find('/', scheme + 3);
        uri = slash == std::string_view::npos ? std::string_view("/") : uri.substr(slash);
    }
    m_path = uri;
    m_query = info->query_string == nullptr ? "" : info->query_string;
    for (int i = 0; i < info->num_headers; ++i) {
        m_headers.push_back({info->http_headers[i].name, info->http_headers[i].value});
    }
    std::size_t lengths = 0;
    for (const header& entry : m_headers) {
        if (equal_names(entry.name, "content-length")) {
            ++lengths;
            m_content_length = parse_length(entry.value);
            m_ambiguous_length = m_ambiguous_length || lengths > 1 || !m_content_length;
        } else if (equal_names(entry.name, "transfer-encoding")) {
            m_chunked_request = equal_names(entry.value, "chunked");
            m_ambiguous_length = m_ambiguous_length || !m_chunked_request;
        } else if (equal_names(entry.name, "expect")) {
            m_expects_continue = equal_names(entry.value, "100-continue");
        }
    }
    if (m_chunked_request && lengths > 0) {
        m_ambiguous_length = true;
    }
    if (m_ambiguous_length) {
        // The bytes that follow may be the body or the next request, so the connection is closed.
        mg_disable_connection_keep_alive(connection);
    }
    m_body_complete = !has_body();
}

std::string server_exchange::target() const {
    return m_query.empty() ? m_path : m_path + "?" + m_query;
}

std::optional<std::string_view> server_exchange::header_value(std::string_view name) const {
    return find_header(m_headers, name);
}

bool server_exchange::has_body() const {
    return m_chunked_request || m_content_length.value_or(0) > 0;
}

tl::expected<std::size_t, web_error> server_exchange::read(std::span<char> buffer) {
    if (m_body_complete) {
        return 0;
    }
    if (m_expects_continue) {
        m_expects_continue = false;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    const int count = mg_read(m_connection, buffer.data(), buffer.size());
    if (count > 0) {
        m_body_bytes_read += static_cast<std::uint64_t>(count);
        m_body_complete = m_content_length && m_body_bytes_read >= *m_content_length;
        return static_cast<std::size_t>(count);
    }
    if (count == 0 && m_chunked_request) {
        m_body_complete = true;
        return 0;
    }
    mg_disable_connection_keep_alive(m_connection);
    return tl::unexpected(web_error{web_error_kind::truncated, "the request body is incomplete"});
}

tl::expected<std::string, web_error> server_exchange::read_all(std::size_t limit) {
    if (m_content_length.value_or(0) > limit) {
        return tl::unexpected(
            web_error{web_error_kind::too_large, "request body exceeds " + std::to_string(limit) + " bytes"});
    }
    std::string body;
    std::vector<char> buffer(body_buffer_bytes);
    while (true) {
        const auto count = read(buffer);
        if (!count) {
            return tl::unexpected(count.error());
        }
        if (*count == 0) {
            return body;
        }
        body.append(buffer.data(), *count);
        if (body.size() > limit) {
            return tl::unexpected(web_error{web_error_kind::too_large,
                                            "request body exceeds " + std::to_string(limit) + " bytes"});
        }
    }
}

bool server_exchange::respond(int status, const header_list& headers, std::string_view body) {
    if (!begin_response(status, headers, body.size(), body)) {
        return false;
    }
    return finish_response();
}

bool server_exchange::body_allowed(int status) const {
    return m_method != "HEAD" && status != 204 && status != 304;
}

void server_exchange::close_if_body_unread() {
    if (m_body_complete) {
        return;
    }
    const bool discardable =
        m_content_length && *m_content_length - m_body_bytes_read <= max_discarded_body_bytes;
    if (!discardable || m_expects_continue) {
        mg_disable_connection_keep_alive(m_connection);
    }
}

bool server_exchange::begin_response(int status, const header_list& headers,
                                     std::optional<std::uint64_t> content_length,
                                     std::string_view body_prefix) {
    close_if_body_unread();
    m_response_started = true;
    m_status = status;
    m_omit_body = !body_allowed(status);
    m_chunked_response = !content_length && !m_http_1_0 && !m_omit_body;
    const char* reason = mg_get_response_code_text(m_connection, status);
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const header& entry : headers) {
        head.append(entry.name).append(": ").append(entry.value).append("\r\n");
    }
    if (content_length && status != 204 && status != 304) {
        head.append("Content-Length: ").append(std::to_string(*content_length)).append("\r\n");
    }
    if (m_chunked_response) {
        head.append("Transfer-Encoding: chunked\r\n");
    }
    if (!content_length && m_http_1_0) {
        mg_disable_connection_keep_alive(m_connection);
        head.append("Connection: close\r\n");
    }
    head.append("\r\n");
    m_body_bytes_to_write = m_omit_body ? 0 : content_length.value_or(0);
    if (m_omit_body || body_prefix.empty()) {
        return send(head);
    }
    if (m_chunked_response) {
        return send(head + chunk(body_prefix));
    }
    m_body_bytes_to_write -= std::min<std::uint64_t>(m_body_bytes_to_write, body_prefix.size());
    return send(head.append(body_prefix));
}

bool server_exchange::write(std::string_view data) {
    if (m_omit_body || data.empty()) {
        return true;
    }
    if (m_chunked_response) {
        return send(chunk(data));
    }
    m_body_bytes_to_write -= std::min<std::uint64_t>(m_body_bytes_to_write, data.size());
    return send(data);
}

bool server_exchange::finish_response() {
    if (m_chunked_response) {
        return send("0\r\n\r\n");
    }
    if (m_body_bytes_to_write > 0) {
        abort();
        return false;
    }
    return true;
}

void server_exchange::discard_unread_body() {
    if (m_aborted || m_ambiguous_length || m_expects_continue || m_status == 0) {
        return;
    }
    std::vector<char> buffer(m_body_complete ? 0 : body_buffer_bytes);
    const std::uint64_t limit = m_body_bytes_read + max_lingering_body_bytes;
    while (!m_body_complete && m_body_bytes_read < limit) {
        if (!read(buffer)) {
            return;
        }
    }
}

void server_exchange::abort() {
    m_aborted = true;
    mg_disable_connection_keep_alive(m_connection);
}

bool server_exchange::send(std::string_view data) {
    const int written = mg_write(m_connection, data.data(), data.size());
    if (written < 0 || static_cast<std::size_t>(written) != data.size()) {
        mg_disable_connection_keep_alive(m_connection);
        return false;
    }
    return true;
}

tl::expected<std::unique_ptr<http_server>, web_error> http_server::start(const server_options& options,
                                                                         handler serve) {
    initialize_library();
    std::unique_ptr<http_server> server(new http_server);
    server->m_handler = std::move(serve);
    server->m_on_rejected = options.on_rejected;
    const std::string port = listening_port(options.listen);
    const std::string threads = std::to_string(options.worker_threads);
    const std::string queue = std::to_string(std::max(options.worker_threads, 20U));
    const std::string read_timeout = std::to_string(options.read_timeout.count());
    const std::string keep_alive_timeout = std::to_string(options.keep_alive_timeout.count());
    const std::string max_header = std::to_string(options.max_header_bytes);
    const std::array<const char*, 21> settings{"listening_ports",
                                               port.c_str(),
                                               "num_threads",
                                               threads.c_str(),
                                               "connection_queue",
                                               queue.c_str(),
                                               "listen_backlog",
                                               "1024",
                                               "enable_keep_alive",
                                               "yes",
                                               "keep_alive_timeout_ms",
                                               keep_alive_timeout.c_str(),
                                               "request_timeout_ms",
                                               read_timeout.c_str(),
                                               "max_request_size",
                                               max_header.c_str(),
                                               "tcp_nodelay",
                                               "1",
                                               "decode_url",
                                               "no",
                                               nullptr};
    std::array<char, 256> message{};
    mg_error_data error{};
    error.text = message.data();
    error.text_buffer_size = message.size();
    mg_callbacks callbacks{};
    callbacks.http_error = &http_server::reject;
    mg_init_data init{};
    init.callbacks = &callbacks;
    init.user_data = server.get();
    init.configuration_options = const_cast<const char**>(settings.data());
    server->m_context = mg_start2(&init, &error);
    if (server->m_context == nullptr) {
        return tl::unexpected(web_error{web_error_kind::listen_failed, port + ": " + message.data()});
    }
    mg_set_request_handler(server->m_context, "**", &http_server::serve, server.get());
    mg_server_port bound{};
    if (mg_get_server_ports(server->m_context, 1, &bound) < 1) {
        return tl::unexpected(web_error{web_error_kind::listen_failed, "the server has no listening port"});
    }
    server->m_local_endpoint = {options.listen.address, static_cast<std::uint16_t>(bound.port)};
    return server;
}

http_server::~http_server() {
    if (m_context == nullptr) {
        return;
    }
    // CivetWeb's accept loop checks its stop flag only after a new connection or every 2 s, so connections
    // are opened to wake it.
    std::atomic<bool> stopped{false};
    const std::jthread waker([&] {
        while (!stopped) {
            std::this_thread::sleep_for(stop_wakeup_interval);
            const auto connection = client_connection::connect(m_local_endpoint);
        }
    });
    mg_stop(m_context);
    stopped = true;
}

int http_server::serve(mg_connection* connection, void* server) {
    http_server& self = *static_cast<http_server*>(server);
    ++self.m_in_flight;
    const common::scope_guard decrement_on_exit([&] { --self.m_in_flight; });
    server_exchange exchange(connection);
    self.m_handler(exchange);
    exchange.discard_unread_body();
    constexpr int handled = 200;
    return handled;
}

int http_server::reject(mg_connection* connection, int status, const char* /*message*/) {
    const auto* server = static_cast<const http_server*>(mg_get_user_data(mg_get_context(connection)));
    if (server != nullptr && server->m_on_rejected) {
        server->m_on_rejected(status);
    }
    constexpr int send_default_response = 1;
    return send_default_response;
}

} // namespace boragehollow::web
