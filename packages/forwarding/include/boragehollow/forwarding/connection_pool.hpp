#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/forwarding/cancellation.hpp"

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
    refused,   ///< The peer refused the connection; nothing was sent.
    not_sent,  ///< No connection in time; nothing was sent.
    lost,      ///< Sent, without a complete response.
    timed_out, ///< Sent, without a complete response before the deadline.
    cancelled, ///< The caller left.
};

struct exchange_error {
    exchange_error_kind kind = exchange_error_kind::lost;
    std::string detail;
};

struct exchange_options {
    common::steady_time deadline;
    std::chrono::milliseconds connect_timeout{250};
    /// A connection that was idle for longer is not used again.
    std::chrono::milliseconds longest_idle{2'000};
    /// True for the response to this request. Others on the connection are dropped: they belong to earlier
    /// ones.
    std::function<bool(const response_message&)> accepts;
    std::size_t largest_body = 16ULL * 1024 * 1024;
    /// A large body is written in parts over this time, so that the small messages of other calls pass
    /// between its parts. 0: at once.
    std::chrono::milliseconds body_spread{0};
};

struct pool_counters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t foreign_responses = 0;
};

/// Client connections to daemons or targets, kept open between exchanges. Used on the thread of its executor.
class connection_pool {
public:
    explicit connection_pool(asio::io_context& context) : m_context(context) {}

    /// Sends a request and reads its response. The connection is kept only after a complete exchange with
    /// nothing left over.
    asio::awaitable<tl::expected<response_message, exchange_error>> exchange(common::endpoint remote,
                                                                             request_message request,
                                                                             exchange_options options,
                                                                             cancellation_ptr cancelled);

    /// Closes the idle connections to `remote`.
    void forget(const common::endpoint& remote) { m_idle.erase(remote); }

    /// Closes connections that have been idle for too long.
    void expire(common::steady_time now);

    const pool_counters& counters() const { return m_counters; }

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    connection_ptr take_idle(const common::endpoint& remote, std::chrono::milliseconds longest_idle);
    asio::awaitable<tl::expected<connection_ptr, exchange_error>>
    open(common::endpoint remote, const exchange_options& options, cancellation_ptr cancelled);
    asio::awaitable<tl::expected<response_message, exchange_error>>
    read_response(connection_ptr link, bool head_request, const exchange_options& options);
    asio::awaitable<void> write_large(connection_ptr link, std::chrono::milliseconds spread);
    void keep(const common::endpoint& remote, connection_ptr link, const response_message& response);

    asio::io_context& m_context;
    std::map<common::endpoint, std::vector<connection_ptr>> m_idle;
    pool_counters m_counters;
};

/// Time-outs of the kernel for connections whose peer may fall silent: without them a connection to a host
/// that lost power or is cut off hangs.
void set_liveness_options(tcp::socket& socket);

} // namespace boragehollow::forwarding
