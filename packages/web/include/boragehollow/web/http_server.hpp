#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/web/error.hpp"
#include "boragehollow/web/headers.hpp"

#include <tl/expected.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

struct mg_connection;
struct mg_context;

namespace boragehollow::web {

/// One request on a server connection and its response. Used only by the worker thread that serves it.
class server_exchange {
public:
    explicit server_exchange(mg_connection* connection);

    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    std::string_view method() const { return m_method; }
    /// Path as received, with escapes and without the query.
    std::string_view path() const { return m_path; }
    std::string_view query() const { return m_query; }
    /// Path and query as received.
    std::string target() const;
    const header_list& headers() const { return m_headers; }
    std::optional<std::string_view> header_value(std::string_view name) const;
    std::string_view remote_address() const { return m_remote_address; }
    /// Declared length of the body; empty if the body is chunked.
    std::optional<std::uint64_t> content_length() const { return m_content_length; }
    bool has_body() const;
    /// True if the end of the request is ambiguous: it has both a length and a transfer coding, several
    /// lengths, an invalid length, or a transfer coding other than chunked.
    bool has_ambiguous_length() const { return m_ambiguous_length; }

    /// Reads the next bytes of the body; returns 0 at its end.
    tl::expected<std::size_t, web_error> read(std::span<char> buffer);
    /// Reads the complete body, up to `limit` bytes.
    tl::expected<std::string, web_error> read_all(std::size_t limit);

    /// Sends a complete response.
    bool respond(int status, const header_list& headers, std::string_view body);

    /// Starts a streamed response, which is sent chunked if no length is given. `body_prefix` is sent in the
    /// same write as the headers.
    bool begin_response(int status, const header_list& headers, std::optional<std::uint64_t> content_length,
                        std::string_view body_prefix = {});
    bool write(std::string_view data);
    bool finish_response();
    /// Closes the connection without completing the response, so that the client detects a truncated
    /// transfer.
    void abort();
    /// Reads and discards a bounded part of the body that the handler did not read. The kernel resets a
    /// connection that is closed with unread bytes, and the client may get the reset before the response.
    void discard_unread_body();
    bool response_started() const { return m_response_started; }
    /// Status code of the response; 0 before the response is started.
    int status() const { return m_status; }

private:
    bool send(std::string_view data);
    bool body_allowed(int status) const;
    void close_if_body_unread();

    mg_connection* m_connection;
    std::string m_method;
    std::string m_path;
    std::string m_query;
    std::string m_remote_address;
    header_list m_headers;
    std::optional<std::uint64_t> m_content_length;
    std::uint64_t m_body_bytes_read = 0;
    std::uint64_t m_body_bytes_to_write = 0;
    bool m_chunked_request = false;
    bool m_ambiguous_length = false;
    bool m_body_complete = false;
    bool m_expects_continue = false;
    bool m_http_1_0 = false;
    int m_status = 0;
    bool m_aborted = false;
    bool m_response_started = false;
    bool m_chunked_response = false;
    bool m_omit_body = false;
};

struct server_options {
    common::endpoint listen;
    unsigned worker_threads = 32;
    /// Limit on the time without data in the middle of a request.
    std::chrono::milliseconds read_timeout{30'000};
    std::chrono::milliseconds keep_alive_timeout{10'000};
    std::size_t max_header_bytes = 16'384;
    /// Called on a worker thread for each request that is rejected before it reaches the handler because it
    /// is not valid HTTP or exceeds a limit.
    std::function<void(int status)> on_rejected;
};

/// HTTP server. The handler runs on CivetWeb's worker threads; each open connection occupies one.
class http_server {
public:
    using handler = std::function<void(server_exchange&)>;

    static tl::expected<std::unique_ptr<http_server>, web_error> start(const server_options& options,
                                                                       handler serve);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Bound address; contains the actual port if port 0 was requested.
    const common::endpoint& local_endpoint() const { return m_local_endpoint; }
    std::size_t requests_in_flight() const { return m_in_flight.load(); }

private:
    http_server() = default;

    static int serve(mg_connection* connection, void* server);
    static int reject(mg_connection* connection, int status, const char* message);

    handler m_handler;
    std::function<void(int status)> m_on_rejected;
    common::endpoint m_local_endpoint;
    std::atomic<std::size_t> m_in_flight{0};
    mg_context* m_context = nullptr;
};

} // namespace boragehollow::web
