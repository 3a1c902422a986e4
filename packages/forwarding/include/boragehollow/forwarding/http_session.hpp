#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/config/versioned_config.hpp"
#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/forwarding/cancellation.hpp"
#include "boragehollow/forwarding/memory_ledger.hpp"
#include "boragehollow/forwarding/message_parsing.hpp"
#include "boragehollow/forwarding/session_messages.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace boragehollow::forwarding {

/// Produces the response to one request.
using request_handler = std::function<asio::awaitable<session_response>(request_message, request_context)>;

/// Callbacks by which a session uses its owner.
struct session_callbacks {
    request_handler handle;
    /// False for a request that must not start before the responses to all earlier requests on its connection
    /// are written: if one of these closes the connection, the client retries the requests behind it.
    std::function<bool(const request_message&)> may_pipeline;
    std::function<config::caller_limits()> limits;
    /// True while the daemon drains its connections: each one is closed after its next response.
    std::function<bool()> draining_connections;
    /// Called with the change in the number of responses that are not yet written, and of connections whose
    /// client may not have read the last one.
    std::function<void(int difference)> pending_responses_changed;
    /// The response to a request whose body was not received, since the memory was taken. It has not run.
    std::function<response_message(const request_message&)> refuse_for_memory;
    std::shared_ptr<memory_ledger> memory;
};

/// True when a caller with the address `caller` is on the host whose listener has the address `own`.
bool is_own_host(const asio::ip::address& caller, const asio::ip::address& own);

/// Server side of one client connection. Supports pipelining: requests are read without waiting for earlier
/// ones, and the responses are written in the order of the requests.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(tcp::socket socket, std::shared_ptr<const session_callbacks> callbacks);
    ~http_session();

    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();

    /// Closes the connection when it exceeded the idle timeout, or the timeout for reading a request.
    void enforce_timeouts(common::steady_time now);

    /// Closes the connection after the linger time unless a request is in progress.
    void close_if_idle();
    void close();

    bool idle() const { return m_pending.empty(); }
    /// Neither receives a request nor owes a response.
    bool unused() const;
    common::steady_time last_activity() const { return m_last_activity; }
    bool closed() const { return m_closed; }

private:
    struct pending_response;
    using pending_ptr = std::shared_ptr<pending_response>;
    using request_parser = http::request_parser<shared_body>;

    asio::awaitable<void> read_requests();
    asio::awaitable<error_code> read_request(std::optional<request_message>& request);
    asio::awaitable<error_code> read_part(request_parser& parser, message_part part);
    asio::awaitable<error_code> read_body(request_parser& parser);
    asio::awaitable<error_code> receive_some(std::size_t wanted_bytes);
    void end_stalled_request();
    void refuse_for_memory(const request_message& request);
    void reject(response_message response);
    asio::awaitable<void> handle_request(pending_ptr pending, request_message request);
    asio::awaitable<void> write_responses();
    asio::awaitable<void> discard_input();
    asio::awaitable<void> linger();
    asio::awaitable<void> write_response(pending_response& pending, error_code& error);
    void enqueue_request(request_message request);
    void reject_malformed_request(const error_code& error);
    void start_ready_requests();
    void add_pending(pending_ptr pending);
    void client_disconnected();

    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    std::shared_ptr<const session_callbacks> m_callbacks;
    std::deque<pending_ptr> m_pending;
    /// Cancelled whenever `m_pending` changes, to wake the coroutines that wait for a change.
    asio::steady_timer m_pending_changed;
    common::steady_time m_last_activity;
    bool m_from_own_host = false;      ///< The client has the address on which it reached this daemon.
    std::size_t m_bytes_of_fields = 0; ///< Of the request being received, beyond the overhead of a call.
    bool m_reading_request = false;    ///< Part of a request has been received.
    bool m_reading_ended = false;      ///< The last request has been read or reading failed.
    bool m_input_ended = false;        ///< The client closed its side of the connection.
    bool m_stop_reading = false;       ///< No further request is accepted.
    bool m_request_evicted = false;    ///< The request being received was ended for others.
    bool m_closed = false;
};

} // namespace boragehollow::forwarding
