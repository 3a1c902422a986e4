#include "boragehollow/forwarding/http_session.hpp"

#include "boragehollow/forwarding/connection_pool.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests of one connection that are open at once; further ones wait in the kernel.
constexpr std::size_t most_pending = 32;

/// Time in which a client may read the last response before the connection closes: closing with unread bytes
/// resets it, and the reset can overtake the response.
constexpr milliseconds linger{500};

response_message plain_response(http::status status) {
    response_message response{status, 11};
    response.prepare_payload();
    return response;
}

http::status status_of(const error_code& fault) {
    if (fault == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (fault == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

/// The bytes are no request, rather than the connection having ended.
bool is_malformed(const error_code& fault) {
    return fault.category() == make_error_code(http::error::bad_method).category() &&
           fault != http::error::end_of_stream && fault != http::error::partial_message;
}

} // namespace

struct http_session::pending_response {
    explicit pending_response(request_message received) : request(std::move(received)) {}

    request_message request; ///< Until its answer begins.
    cancellation_ptr cancelled = std::make_shared<cancellation>();
    std::optional<response_message> response;
    bool started = false;
    bool keep_alive = true;
    bool head = false;
};

http_session::http_session(tcp::socket socket, std::shared_ptr<const session_services> services)
    : m_socket(std::move(socket)), m_services(std::move(services)), m_changed(m_socket.get_executor()),
      m_waiting_since(common::steady_clock::now()) {
    m_changed.expires_at(common::steady_time::max());
}

http_session::~http_session() {
    m_services->pending_changed(-static_cast<int>(m_pending.size()));
}

void http_session::add_pending(pending_ptr pending) {
    m_pending.push_back(std::move(pending));
    m_services->pending_changed(1);
}

void http_session::start() {
    set_liveness_options(m_socket);
    auto self = shared_from_this();
    asio::co_spawn(
        m_socket.get_executor(),
        [](std::shared_ptr<http_session> session) -> asio::awaitable<void> {
            co_await session->read_requests();
        }(self),
        asio::detached);
    asio::co_spawn(
        m_socket.get_executor(),
        [](std::shared_ptr<http_session> session) -> asio::awaitable<void> {
            co_await session->write_responses();
        }(self),
        asio::detached);
}

asio::awaitable<error_code> http_session::read_one(std::optional<request_message>& request) {
    const config::caller_limits limits = m_services->limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    error_code failed;
    m_waiting_since = common::steady_clock::now();
    if (m_buffer.size() == 0) {
        co_await m_socket.async_wait(tcp::socket::wait_read, result_in(failed));
        if (failed) {
            co_return failed;
        }
    }
    m_in_request = true;
    m_waiting_since = common::steady_clock::now();
    co_await http::async_read_header(m_socket, m_buffer, parser, result_in(failed));
    if (failed) {
        co_return failed;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") && m_pending.empty()) {
        static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_socket, asio::buffer(proceed), result_in(failed));
    }
    co_await http::async_read(m_socket, m_buffer, parser, result_in(failed));
    if (failed) {
        co_return failed;
    }
    m_in_request = false;
    m_waiting_since = common::steady_clock::now();
    request = parser.release();
    co_return error_code{};
}

asio::awaitable<void> http_session::read_requests() {
    const auto self = shared_from_this();
    while (!m_closed && !m_last_response) {
        std::optional<request_message> request;
        const error_code failed = co_await read_one(request);
        if (m_closed) {
            co_return;
        }
        if (failed) {
            if (is_malformed(failed)) {
                refuse_unreadable(failed);
            } else {
                client_left();
            }
            break;
        }
        accept_request(std::move(*request));
        // A stopping daemon takes one more request on each connection, since the client cannot know yet.
        m_last_response = m_last_response || m_services->stopping();
        while (m_pending.size() >= most_pending && !m_closed) {
            error_code ignored;
            co_await m_changed.async_wait(result_in(ignored));
        }
    }
    m_reading_ended = true;
    // Watches for the end of the connection while the last responses are prepared.
    while (!m_closed && !m_pending.empty()) {
        error_code failed;
        std::array<char, 256> unread{};
        co_await m_socket.async_read_some(asio::buffer(unread), result_in(failed));
        if (failed) {
            client_left();
            break;
        }
    }
    m_changed.cancel();
}

void http_session::accept_request(request_message request) {
    auto pending = std::make_shared<pending_response>(std::move(request));
    pending->keep_alive = pending->request.keep_alive();
    pending->head = pending->request.method() == http::verb::head;
    m_last_response = !pending->keep_alive;
    add_pending(pending);
    start_next();
    m_changed.cancel();
}

/// Begins the requests that need not wait for an earlier one.
void http_session::start_next() {
    for (std::size_t i = 0; i < m_pending.size(); ++i) {
        const pending_ptr pending = m_pending[i];
        if (pending->started) {
            continue;
        }
        if (i > 0 && !m_services->may_overtake(pending->request)) {
            return;
        }
        pending->started = true;
        asio::co_spawn(
            m_socket.get_executor(),
            [](std::shared_ptr<http_session> session, pending_ptr begun) -> asio::awaitable<void> {
                request_message request = std::move(begun->request);
                co_await session->answer(begun, std::move(request));
            }(shared_from_this(), pending),
            asio::detached);
    }
}

asio::awaitable<void> http_session::answer(pending_ptr pending, request_message request) {
    auto response = co_await m_services->handle(std::move(request), pending->cancelled);
    pending->response = std::move(response);
    m_changed.cancel();
}

void http_session::refuse_unreadable(const error_code& fault) {
    m_last_response = true;
    auto pending = std::make_shared<pending_response>(request_message{});
    pending->started = true;
    pending->keep_alive = false;
    pending->response = plain_response(status_of(fault));
    add_pending(std::move(pending));
    m_changed.cancel();
}

asio::awaitable<void> http_session::write_responses() {
    const auto self = shared_from_this();
    error_code failed;
    while (!m_closed) {
        if (m_pending.empty() || !m_pending.front()->response) {
            if (m_pending.empty() && m_reading_ended) {
                break;
            }
            co_await m_changed.async_wait(result_in(failed));
            continue;
        }
        const pending_ptr pending = m_pending.front();
        response_message& response = *pending->response;
        // A stopping daemon ends the connection behind the last request that it has read.
        const bool last = !pending->keep_alive || (m_services->stopping() && m_pending.size() == 1);
        response.keep_alive(!last);
        http::response_serializer<http::string_body> serializer(response);
        if (pending->head) {
            co_await http::async_write_header(m_socket, serializer, result_in(failed));
        } else {
            co_await http::async_write(m_socket, serializer, result_in(failed));
        }
        if (failed || m_closed) {
            break;
        }
        m_pending.pop_front();
        m_services->pending_changed(-1);
        m_waiting_since = common::steady_clock::now();
        if (last) {
            // Requests behind this response are not read as far as the client is concerned.
            m_last_response = true;
            break;
        }
        start_next();
        m_changed.cancel();
    }
    if (m_closed) {
        co_return;
    }
    m_socket.shutdown(tcp::socket::shutdown_send, failed);
    if (!m_reading_ended) {
        asio::steady_timer timer(m_socket.get_executor(), linger);
        co_await timer.async_wait(result_in(failed));
    }
    close();
}

void http_session::client_left() {
    m_last_response = true;
    for (const pending_ptr& pending : m_pending) {
        pending->cancelled->request();
    }
    close();
}

void http_session::check_time_limits(common::steady_time now) {
    if (m_closed || !m_pending.empty()) {
        return;
    }
    const config::caller_limits limits = m_services->limits();
    const milliseconds allowed =
        m_in_request ? std::max(limits.header_timeout, limits.idle_timeout) : limits.idle_timeout;
    if (now - m_waiting_since > allowed) {
        close();
    }
}

void http_session::close_if_idle() {
    if (m_pending.empty() && !m_in_request) {
        close();
    }
}

void http_session::close() {
    if (std::exchange(m_closed, true)) {
        return;
    }
    error_code ignored;
    m_socket.close(ignored);
    m_changed.cancel();
    for (const pending_ptr& pending : m_pending) {
        pending->cancelled->request();
    }
}

} // namespace boragehollow::forwarding
