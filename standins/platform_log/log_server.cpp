#include "log_server.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "requests.hpp"

#include <civetweb.h>

#include <array>
#include <chrono>
#include <optional>

namespace boragehollow::platform_log {

namespace {

using streams::log_error;
using streams::log_error_kind;

constexpr long long max_record_bytes = 8LL * 1024 * 1024;

/// Practically unlimited, since each client limits its own wait.
constexpr std::chrono::hours no_timeout{1};

int respond(mg_connection* connection, int status, const char* type, const std::string& body,
            const std::string& extra_headers = {}) {
    const std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                             mg_get_response_code_text(connection, status) + "\r\nContent-Type: " + type +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra_headers +
                             "Connection: close\r\n\r\n";
    mg_write(connection, head.data(), head.size());
    mg_write(connection, body.data(), body.size());
    return status;
}

int respond_error(mg_connection* connection, int status, const std::string& detail) {
    return respond(connection, status, "text/plain", detail + "\n");
}

/// CivetWeb closes the connection if the handler returns without having written a response.
int close_without_response() {
    return 444;
}

int respond_log_error(mg_connection* connection, const log_error& error) {
    if (error.kind == log_error_kind::response_lost) {
        return close_without_response();
    }
    if (error.retry_after > std::chrono::milliseconds(0)) {
        return respond(connection, 429, "text/plain", error.detail + "\n", "Retry-After: 1\r\n");
    }
    return respond_error(connection, 503, error.detail);
}

std::optional<std::string> read_body(mg_connection* connection, long long length) {
    if (length < 0 || length > max_record_bytes) {
        return std::nullopt;
    }
    std::string body(static_cast<std::size_t>(length), '\0');
    std::size_t received = 0;
    while (received < body.size()) {
        const int count = mg_read(connection, body.data() + received, body.size() - received);
        if (count <= 0) {
            return std::nullopt;
        }
        received += static_cast<std::size_t>(count);
    }
    return body;
}

std::string client_name(mg_connection* connection, const mg_request_info& info) {
    const char* agent = mg_get_header(connection, "User-Agent");
    return agent != nullptr ? agent : info.remote_addr;
}

int handle(mg_connection* connection, void* data) {
    streams::memory_log& log = *static_cast<streams::memory_log*>(data);
    const mg_request_info& info = *mg_get_request_info(connection);
    const std::string client = client_name(connection, info);
    const auto run = common::overloaded{
        [&](const append_request& append) {
            auto body = read_body(connection, info.content_length);
            if (!body) {
                return respond_error(connection, 400,
                                     "the record is incomplete, too long or of unknown length");
            }
            const auto offset = log.append(append.stream, std::move(*body), client, no_timeout);
            if (!offset) {
                return respond_log_error(connection, offset.error());
            }
            return respond(connection, 200, "application/json", codec::encode_append_reply(*offset));
        },
        [&](const read_records_request& read) {
            const auto page = log.read(read.request, client, no_timeout);
            if (!page) {
                return respond_log_error(connection, page.error());
            }
            return respond(connection, 200, "application/x-protobuf", codec::encode_log_page(*page));
        },
        [&](const set_switches_request&) {
            const auto body = read_body(connection, info.content_length);
            const auto switches = parse_switches(body.value_or(std::string()), log.switches());
            if (!switches) {
                return respond_error(connection, 400, switches.error());
            }
            log.set_switches(*switches);
            return respond(connection, 200, "application/json", "{}");
        },
        [&](const counters_request&) {
            return respond(connection, 200, "application/json", counters_json(log.counters()));
        },
        [&](const invalid_request& invalid) {
            return respond_error(connection, invalid.status, invalid.detail);
        },
    };
    const char* query = info.query_string != nullptr ? info.query_string : "";
    return std::visit(run, parse_request(info.request_method, info.local_uri, query));
}

} // namespace

tl::expected<std::unique_ptr<log_server>, std::string>
log_server::start(const common::endpoint& listen, std::shared_ptr<streams::memory_log> log) {
    const std::string port = common::to_string(listen);
    // Each long poll occupies a worker thread, and every failure domain has two readers.
    const std::array<const char*, 9> options{
        "listening_ports",    port.c_str(), "num_threads", "100", "tcp_nodelay", "1",
        "request_timeout_ms", "90000",      nullptr};
    std::unique_ptr<log_server> server(new log_server(listen, std::move(log)));
    const mg_callbacks callbacks{};
    server->m_context = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
    if (server->m_context == nullptr) {
        return tl::unexpected("cannot listen on " + port);
    }
    mg_set_request_handler(server->m_context, "/", handle, server->m_log.get());
    mg_server_port bound{};
    if (mg_get_server_ports(server->m_context, 1, &bound) < 1) {
        return tl::unexpected("cannot read the port of " + port);
    }
    server->m_local_endpoint.port = static_cast<std::uint16_t>(bound.port);
    return server;
}

log_server::~log_server() {
    m_log->close();
    if (m_context != nullptr) {
        mg_stop(m_context);
    }
}

} // namespace boragehollow::platform_log
