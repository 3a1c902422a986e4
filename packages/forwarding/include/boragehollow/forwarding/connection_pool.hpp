#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/forwarding/cancellation.hpp"
#include "boragehollow/forwarding/memory_ledger.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::forwarding {

enum class exchange_error_kind {
    connection_refused, ///< The peer refused the connection; nothing was sent.
    not_sent,           ///< No connection within the timeout; nothing was sent.
    response_lost,      ///< The request was sent, and no complete response arrived.
    timed_out,          ///< The request was sent, and no complete response arrived before the deadline.
    cancelled,          ///< The caller disconnected.
};

struct exchange_error {
    exchange_error_kind kind = exchange_error_kind::response_lost;
    std::string detail;
};

/// How a response relates to the request that waits for one.
enum class response_match {
    own,
    unidentified, ///< Nothing names its request, but it can only be this one. The connection is not used
                  ///< again.
    foreign,      ///< Belongs to an earlier request or to none, and is dropped.
};

struct exchange_options {
    common::steady_time deadline;
    std::chrono::milliseconds connect_timeout{250};
    /// A connection that was idle for longer is not reused.
    std::chrono::milliseconds max_idle_time{2'000};
    /// Tells whether a response belongs to this request; without it, every response does.
    std::function<response_match(const response_message&, bool first_on_connection)> match;
    std::size_t max_body_bytes = 16ULL * 1024 * 1024;
    /// Time over which a large body is sent. It is written in chunks, so that small messages of other calls
    /// are sent between them. 0: without pauses.
    std::chrono::milliseconds body_send_duration{0};
};

struct pool_counters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t unmatched_responses = 0;
};

/// Pool of client connections to daemons or targets. Not thread-safe: used on the thread that runs `context`.
class connection_pool {
public:
    connection_pool(asio::io_context& context, std::shared_ptr<memory_ledger> memory)
        : m_context(context), m_memory(std::move(memory)) {}

    /// Sends a request and reads its response. The connection returns to the pool only after a complete
    /// exchange that leaves no unread bytes.
    asio::awaitable<tl::expected<response_message, exchange_error>> exchange(common::endpoint remote,
                                                                             request_message request,
                                                                             exchange_options options,
                                                                             cancellation_ptr cancelled);

    /// Closes the idle connections to `remote`.
    void close_idle(const common::endpoint& remote) { m_idle.erase(remote); }

    /// Closes connections that exceeded their idle time.
    void close_expired(common::steady_time now);

    const pool_counters& counters() const { return m_counters; }

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;
    using response_parser = http::response_parser<shared_body>;

    connection_ptr take_idle(const common::endpoint& remote, std::chrono::milliseconds max_idle_time);
    asio::awaitable<tl::expected<connection_ptr, exchange_error>>
    open(common::endpoint remote, const exchange_options& options, cancellation_ptr cancelled);
    asio::awaitable<error_code> receive(connection& conn, response_parser& parser,
                                        const exchange_options& options);
    asio::awaitable<error_code> receive_header(connection& conn, response_parser& parser,
                                               const exchange_options& options);
    asio::awaitable<error_code> receive_body(connection& conn, response_parser& parser,
                                             const exchange_options& options);
    asio::awaitable<bool> is_request_written(connection& conn, common::steady_time deadline);
    bool displaces_others(std::size_t capacity) const;
    asio::awaitable<error_code> receive_some(connection& conn, std::size_t wanted_bytes,
                                             common::steady_time deadline);
    asio::awaitable<tl::expected<response_message, exchange_error>>
    read_response(connection_ptr conn, bool head_request, const exchange_options& options);
    asio::awaitable<void> write_large_request(connection_ptr conn, std::chrono::milliseconds duration);
    void return_to_pool(const common::endpoint& remote, connection_ptr conn,
                        const response_message& response);

    asio::io_context& m_context;
    std::shared_ptr<memory_ledger> m_memory;
    std::map<common::endpoint, std::vector<connection_ptr>> m_idle;
    pool_counters m_counters;
    std::size_t m_receiving_bytes = 0; ///< Memory of the bodies of responses that are not complete yet.
    std::size_t m_receiving_responses = 0;
};

/// Enables TCP keepalive and a limit on unacknowledged data. Without them, a connection to a host that lost
/// power or network stays open without an error.
void set_keepalive_options(tcp::socket& socket);

} // namespace boragehollow::forwarding
