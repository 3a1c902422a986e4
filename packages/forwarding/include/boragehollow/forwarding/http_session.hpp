#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/config/versioned_config.hpp"
#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/forwarding/cancellation.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace boragehollow::forwarding {

/// Answers one request. `cancelled` is raised when the client closes its connection.
using request_handler =
    std::function<asio::awaitable<response_message>(request_message, cancellation_ptr cancelled)>;

struct session_services {
    request_handler handle;
    /// False for a request that must not begin before those ahead of it on its connection are answered: if
    /// one of them ends the connection, the client sends what is behind it again.
    std::function<bool(const request_message&)> may_overtake;
    std::function<config::caller_limits()> limits;
    /// True while the daemon stops: each response then ends its connection.
    std::function<bool()> stopping;
    /// Told how many more, or fewer, responses are owed to the client.
    std::function<void(int difference)> pending_changed;
};

/// One connection of a client. Requests that arrive behind others are read at once, and the responses go out
/// in the order of the requests.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(tcp::socket socket, std::shared_ptr<const session_services> services);
    ~http_session();

    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();

    /// Ends a connection that waits for a request for too long, or for the rest of one.
    void check_time_limits(common::steady_time now);

    /// Ends the connection when no request is open on it.
    void close_if_idle();
    void close();

    bool idle() const { return m_pending.empty(); }
    bool closed() const { return m_closed; }

private:
    struct pending_response;
    using pending_ptr = std::shared_ptr<pending_response>;

    asio::awaitable<void> read_requests();
    asio::awaitable<error_code> read_one(std::optional<request_message>& request);
    asio::awaitable<void> answer(pending_ptr pending, request_message request);
    asio::awaitable<void> write_responses();
    void accept_request(request_message request);
    void refuse_unreadable(const error_code& fault);
    void start_next();
    void add_pending(pending_ptr pending);
    void client_left();

    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    std::shared_ptr<const session_services> m_services;
    std::deque<pending_ptr> m_pending;
    asio::steady_timer m_changed; ///< Cancelled whenever `m_pending` changes.
    common::steady_time m_waiting_since;
    bool m_in_request = false; ///< Part of a request has arrived.
    bool m_reading_ended = false;
    bool m_last_response = false; ///< No response follows the current one.
    bool m_closed = false;
};

} // namespace boragehollow::forwarding
