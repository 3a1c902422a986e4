#include "boragehollow/forwarding/http_session.hpp"

#include "boragehollow/common/scope_guard.hpp"
#include "boragehollow/forwarding/connection_pool.hpp"
#include "boragehollow/forwarding/paced_body.hpp"
#include "boragehollow/forwarding/request_head.hpp"

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pipelined requests of one connection that are in progress at once. Further ones stay in the socket buffer.
constexpr std::size_t max_pending_requests = 32;

/// Memory of a request and its response besides their bodies, while the call is in progress.
constexpr std::size_t call_overhead_bytes = 12 * 1024;

/// First read of a request; most heads need no second one.
constexpr std::size_t min_read_bytes = 1024;

/// Time for the client to read the last response before the connection is closed: closing a socket that holds
/// unread bytes resets the connection, and the reset can overtake the response.
constexpr milliseconds linger_timeout{500};

response_message empty_response(http::status status) {
    response_message response{status, 11};
    response.prepare_payload();
    return response;
}

http::status error_status(const error_code& error) {
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

bool connects_from_own_host(const tcp::socket& socket) {
    error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error) {
        return false;
    }
    const auto local = socket.local_endpoint(error);
    if (error) {
        return false;
    }
    return is_own_host(remote.address(), local.address());
}

/// True when the received bytes are not a valid request, false when the connection ended.
bool is_malformed(const error_code& error) {
    return error.category() == make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

/// Completion handler of a coroutine: an exception, such as one for exhausted memory, ends its connection and
/// not the process.
auto close_on_exception(std::shared_ptr<http_session> session) {
    return [session = std::move(session)](const std::exception_ptr& failure) {
        if (failure) {
            session->close();
        }
    };
}

} // namespace

// Hosts may have one loopback address each, so a caller with another loopback address than the listener is
// not on its host: it would otherwise need no key.
bool is_own_host(const asio::ip::address& caller, const asio::ip::address& own) {
    const bool over_loopback = caller.is_loopback() && !own.is_loopback();
    return caller == own || over_loopback;
}

struct http_session::pending_response {
    explicit pending_response(request_message received) : request(std::move(received)) {}

    request_message request; ///< Moved from when handling starts.
    cancellation_ptr cancelled = std::make_shared<cancellation>();
    std::optional<session_response> response;
    bool started = false;
    bool keep_alive = true;
    bool head_request = false;
};

http_session::http_session(tcp::socket socket, std::shared_ptr<const session_callbacks> callbacks)
    : m_socket(std::move(socket)), m_callbacks(std::move(callbacks)),
      m_pending_changed(m_socket.get_executor()), m_last_activity(common::steady_clock::now()) {
    m_pending_changed.expires_at(common::steady_time::max());
    m_from_own_host = connects_from_own_host(m_socket);
}

http_session::~http_session() {
    m_callbacks->pending_responses_changed(-static_cast<int>(m_pending.size()));
}

void http_session::add_pending(pending_ptr pending) {
    m_pending.push_back(std::move(pending));
    m_callbacks->pending_responses_changed(1);
}

void http_session::start() {
    set_keepalive_options(m_socket);
    auto self = shared_from_this();
    asio::co_spawn(
        m_socket.get_executor(),
        [](std::shared_ptr<http_session> session) -> asio::awaitable<void> {
            co_await session->read_requests();
        }(self),
        close_on_exception(self));
    asio::co_spawn(
        m_socket.get_executor(),
        [](std::shared_ptr<http_session> session) -> asio::awaitable<void> {
            co_await session->write_responses();
        }(self),
        close_on_exception(self));
}

asio::awaitable<error_code> http_session::receive_some(std::size_t wanted_bytes) {
    const std::size_t room = m_buffer.max_size() - m_buffer.size();
    if (room == 0) {
        co_return make_error_code(http::error::buffer_overflow);
    }
    error_code error;
    const std::size_t count = co_await m_socket.async_read_some(
        m_buffer.prepare(std::min(room, wanted_bytes)), redirect_error_to(error));
    m_buffer.commit(count);
    if (error && m_request_evicted) {
        error = asio::error::no_memory;
    }
    co_return error;
}

/// Reads one part of a request. Each read is covered by the lease of the request's body before it begins.
asio::awaitable<error_code> http_session::read_part(request_parser& parser, message_part part) {
    const memory_lease_ptr lease = parser.get().body().lease();
    std::size_t parsed = 0;
    while (true) {
        error_code error = parse_received(m_buffer, parser, part, parsed);
        if (error != http::error::need_more) {
            co_return error;
        }
        const shared_bytes& body = parser.get().body();
        // Without a stated length, only the next step is leased, so that a small body counts as small.
        const std::size_t step = std::clamp(body.size(), 4 * min_read_bytes, max_read_bytes);
        const std::size_t rest =
            part == message_part::header ? 0 : parser.content_length_remaining().value_or(step);
        const std::size_t wanted = std::clamp(
            part == message_part::header ? m_buffer.size() : std::max<std::size_t>(rest, body.size()),
            min_read_bytes, max_read_bytes);
        const std::size_t unparsed = std::max(m_buffer.capacity(), m_buffer.size() + wanted);
        // A stated length is leased at once, so that a body that was begun can be completed.
        const std::size_t bytes =
            call_overhead_bytes + m_bytes_of_fields + body.capacity_with(rest) + unparsed;
        std::optional<bool> granted = lease->try_acquire(bytes);
        if (!granted) {
            granted = co_await lease->acquire(bytes);
            m_last_activity = common::steady_clock::now();
        }
        if (!*granted) {
            co_return make_error_code(asio::error::no_memory);
        }
        if (m_closed) {
            co_return make_error_code(asio::error::operation_aborted);
        }
        const std::size_t before = m_buffer.size();
        error = co_await receive_some(wanted);
        if (error) {
            co_return error;
        }
        lease->record_progress(m_buffer.size() - before);
    }
}

asio::awaitable<error_code> http_session::read_body(request_parser& parser) {
    error_code error;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") && m_pending.empty() &&
        !m_stop_reading) {
        static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_socket, asio::buffer(proceed), redirect_error_to(error));
    }
    parser.eager(true);
    co_return co_await read_part(parser, message_part::body);
}

asio::awaitable<error_code> http_session::read_request(std::optional<request_message>& request) {
    const config::caller_limits limits = m_callbacks->limits();
    error_code error;
    m_last_activity = common::steady_clock::now();
    if (m_buffer.size() == 0) {
        release_empty_buffer(m_buffer);
        co_await m_socket.async_wait(tcp::socket::wait_read, redirect_error_to(error));
        if (error) {
            co_return error;
        }
    }
    m_reading_request = true;
    m_last_activity = common::steady_clock::now();
    m_buffer.max_size(limits.header_bytes + max_read_bytes);
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    const memory_lease_ptr lease = m_callbacks->memory->open(resources::holder_activity::receiving);
    parser.get().body().hold(lease);
    lease->on_eviction([weak = weak_from_this()] {
        if (const auto session = weak.lock()) {
            session->end_stalled_request();
        }
    });
    const common::scope_guard received([&lease] {
        lease->on_eviction(nullptr);
        lease->set_activity(resources::holder_activity::held);
    });
    m_bytes_of_fields = 0;
    error = co_await read_part(parser, message_part::header);
    if (!error) {
        m_bytes_of_fields = bytes_of_fields(parser.get());
        const std::size_t bytes = call_overhead_bytes + m_bytes_of_fields + m_buffer.capacity();
        // The fields are in the memory already, so that the request cannot wait for it.
        if (m_bytes_of_fields > 0 && !lease->try_acquire(bytes).value_or(false)) {
            error = make_error_code(asio::error::no_memory);
        }
    }
    if (!error && has_unknown_coding(parser.get())) {
        error = make_error_code(http::error::bad_transfer_encoding);
    }
    if (!error && exceeds_body_limit(parser, limits.body_bytes)) {
        error = make_error_code(http::error::body_limit);
    }
    if (!error) {
        error = co_await read_body(parser);
    }
    if (error == asio::error::no_memory && !m_closed && !m_stop_reading) {
        refuse_for_memory(parser.get());
    }
    if (error) {
        co_return error;
    }
    m_reading_request = false;
    m_last_activity = common::steady_clock::now();
    lease->release_to(call_overhead_bytes + m_bytes_of_fields + parser.get().body().capacity());
    request = parser.release();
    co_return error_code{};
}

/// Ends the request that is being received; responses to earlier requests are still written.
void http_session::end_stalled_request() {
    m_request_evicted = true;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_receive, ignored);
}

asio::awaitable<void> http_session::read_requests() {
    const auto self = shared_from_this();
    while (!m_closed && !m_stop_reading) {
        std::optional<request_message> request;
        const error_code error = co_await read_request(request);
        if (m_closed) {
            co_return;
        }
        if (m_stop_reading) {
            // The response that closes the connection was started during the read. The client treats a
            // request behind it as not received, so this one must not run.
            break;
        }
        if (error) {
            if (is_malformed(error)) {
                reject(empty_response(error_status(error)));
            } else if (error != asio::error::no_memory) {
                client_disconnected();
            }
            break;
        }
        enqueue_request(std::move(*request));
        // A draining daemon accepts one more request on each connection, since the client does not know yet
        // that the connection will be closed.
        // An eviction after the last byte of a request leaves nothing more to read.
        m_stop_reading = m_stop_reading || m_callbacks->draining_connections() || m_request_evicted;
        while (m_pending.size() >= max_pending_requests && !m_closed) {
            error_code ignored;
            co_await m_pending_changed.async_wait(redirect_error_to(ignored));
        }
    }
    m_reading_ended = true;
    m_pending_changed.cancel();
    if (!m_request_evicted) {
        co_await discard_input();
    }
}

/// Detects a disconnect of the client while the last responses are pending, and leaves no unread bytes
/// behind: closing a socket that holds some resets the connection, and the reset can overtake the last
/// response.
asio::awaitable<void> http_session::discard_input() {
    while (!m_closed) {
        error_code error;
        std::array<char, 4096> unread{};
        co_await m_socket.async_read_some(asio::buffer(unread), redirect_error_to(error));
        if (error) {
            m_input_ended = true;
            if (!m_pending.empty()) {
                client_disconnected();
            }
            m_pending_changed.cancel();
            co_return;
        }
    }
}

void http_session::enqueue_request(request_message request) {
    auto pending = std::make_shared<pending_response>(std::move(request));
    pending->keep_alive = pending->request.keep_alive();
    pending->head_request = pending->request.method() == http::verb::head;
    m_stop_reading = m_stop_reading || !pending->keep_alive;
    add_pending(pending);
    start_ready_requests();
    m_pending_changed.cancel();
}

/// Starts the requests that do not have to wait for an earlier one.
void http_session::start_ready_requests() {
    for (std::size_t i = 0; i < m_pending.size(); ++i) {
        const pending_ptr pending = m_pending[i];
        if (pending->started) {
            continue;
        }
        if (i > 0 && !m_callbacks->may_pipeline(pending->request)) {
            return;
        }
        pending->started = true;
        asio::co_spawn(
            m_socket.get_executor(),
            [](std::shared_ptr<http_session> session, pending_ptr started_request) -> asio::awaitable<void> {
                request_message request = std::move(started_request->request);
                co_await session->handle_request(started_request, std::move(request));
            }(shared_from_this(), pending),
            close_on_exception(shared_from_this()));
    }
}

asio::awaitable<void> http_session::handle_request(pending_ptr pending, request_message request) {
    // GCC 12 destroys a temporary aggregate in a co_await expression twice, so the context has a name.
    request_context context{pending->cancelled, m_from_own_host};
    session_response response = co_await m_callbacks->handle(std::move(request), std::move(context));
    pending->response = std::move(response);
    m_pending_changed.cancel();
}

void http_session::refuse_for_memory(const request_message& request) {
    reject(m_callbacks->refuse_for_memory(request));
}

/// Responds to a request that was not received completely, and closes the connection.
void http_session::reject(response_message response) {
    m_stop_reading = true;
    auto pending = std::make_shared<pending_response>(request_message{});
    pending->started = true;
    pending->keep_alive = false;
    pending->response = session_response{std::move(response)};
    add_pending(std::move(pending));
    m_pending_changed.cancel();
}

asio::awaitable<void> http_session::write_response(pending_response& pending, error_code& error) {
    response_message& response = pending.response->message;
    const milliseconds duration = pending.response->body_send_duration;
    const memory_lease_ptr lease = response.body().lease();
    if (lease) {
        lease->set_activity(resources::holder_activity::writing);
        lease->on_eviction([weak = weak_from_this()] {
            if (const auto session = weak.lock()) {
                session->close();
            }
        });
    }
    const auto record_progress = [&lease](std::size_t bytes) {
        if (lease) {
            lease->record_progress(bytes);
        }
    };
    http::response_serializer<shared_body> serializer(response);
    error = {};
    if (pending.head_request) {
        co_await http::async_write_header(m_socket, serializer, redirect_error_to(error));
    } else if (duration.count() > 0) {
        co_await write_paced(m_socket, serializer, response.body().size(), duration, error, record_progress);
    } else {
        while (!serializer.is_done() && !error) {
            const std::size_t count =
                co_await http::async_write_some(m_socket, serializer, redirect_error_to(error));
            record_progress(count);
        }
    }
    if (lease) {
        lease->on_eviction(nullptr);
    }
}

asio::awaitable<void> http_session::write_responses() {
    const auto self = shared_from_this();
    error_code error;
    while (!m_closed) {
        if (m_pending.empty() || !m_pending.front()->response) {
            if (m_pending.empty() && (m_reading_ended || m_stop_reading)) {
                break;
            }
            error_code ignored;
            co_await m_pending_changed.async_wait(redirect_error_to(ignored));
            continue;
        }
        const pending_ptr pending = m_pending.front();
        // A draining daemon closes the connection after the last request that it has read.
        const bool close_after =
            !pending->keep_alive || (m_callbacks->draining_connections() && m_pending.size() == 1);
        pending->response->message.keep_alive(!close_after);
        // Set before the write: a request that is received during the write is behind the last response.
        m_stop_reading = m_stop_reading || close_after;
        co_await write_response(*pending, error);
        if (error || m_closed) {
            break;
        }
        m_pending.pop_front();
        m_callbacks->pending_responses_changed(-1);
        m_last_activity = common::steady_clock::now();
        if (close_after) {
            break;
        }
        start_ready_requests();
        m_pending_changed.cancel();
    }
    if (!error && !m_closed) {
        co_await linger();
    }
    close();
}

/// Gives the client time to read the last response and to close its side.
asio::awaitable<void> http_session::linger() {
    // A stopping daemon waits for these connections as for unwritten responses.
    m_callbacks->pending_responses_changed(1);
    const common::scope_guard lingered([this] { m_callbacks->pending_responses_changed(-1); });
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    const common::steady_time end = common::steady_clock::now() + linger_timeout;
    m_pending_changed.expires_at(end);
    while (!m_closed && !m_input_ended && common::steady_clock::now() < end) {
        co_await m_pending_changed.async_wait(redirect_error_to(ignored));
    }
}

void http_session::client_disconnected() {
    m_stop_reading = true;
    for (const pending_ptr& pending : m_pending) {
        pending->cancelled->request();
    }
    close();
}

bool http_session::unused() const {
    error_code error;
    return m_pending.empty() && !m_reading_request && m_socket.available(error) == 0;
}

void http_session::enforce_timeouts(common::steady_time now) {
    if (m_closed || !m_pending.empty()) {
        return;
    }
    const config::caller_limits limits = m_callbacks->limits();
    const milliseconds timeout =
        m_reading_request ? std::max(limits.header_timeout, limits.idle_timeout) : limits.idle_timeout;
    if (now - m_last_activity > timeout) {
        close();
    }
}

void http_session::close_if_idle() {
    if (m_pending.empty() && !m_reading_request) {
        m_stop_reading = true;
        m_pending_changed.cancel();
    }
}

void http_session::close() {
    if (std::exchange(m_closed, true)) {
        return;
    }
    error_code ignored;
    m_socket.close(ignored);
    m_pending_changed.cancel();
    for (const pending_ptr& pending : m_pending) {
        pending->cancelled->request();
    }
}

} // namespace boragehollow::forwarding
