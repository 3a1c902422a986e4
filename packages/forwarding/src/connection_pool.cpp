#include "boragehollow/forwarding/connection_pool.hpp"

#include "boragehollow/common/scope_guard.hpp"
#include "boragehollow/forwarding/paced_body.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Responses of earlier requests that are dropped before the connection is closed.
constexpr int max_unmatched_responses = 4;

/// Fraction of the server's keep-alive timeout during which a connection may be reused, so that the server
/// does not close it while a request is in flight.
constexpr double usable_idle_fraction = 0.7;

/// Idle connections kept for each remote endpoint.
constexpr std::size_t max_idle_connections = 64;

/// A body up to this size fits into the socket buffers, so that it can be written before the response is
/// read.
constexpr std::size_t max_unpaced_body_bytes = 8 * 1024;

constexpr std::size_t max_header_bytes = 64 * 1024;

/// Bytes that are received but not yet parsed. The parser alone does not limit a chunk extension, so that a
/// peer could send one without end.
constexpr std::size_t max_unparsed_bytes = 256 * 1024;

constexpr std::size_t max_read_bytes = 64 * 1024;

/// Bytes of a body's chunk headers, extensions and trailers. A peer may send these without end and without
/// adding to the body. A chunk of one byte has a header of five.
constexpr std::size_t max_framing_bytes = 256 * 1024;
constexpr std::size_t max_framing_bytes_per_body_byte = 8;

/// Memory of the bodies that are being received by one pool. A target host may have 110 MB of memory and 12
/// calls at once, each with a body up to the limit of a single response. Growing a body's buffer takes up to
/// half as much again for a moment.
constexpr std::size_t max_receiving_bytes = 24ULL * 1024 * 1024;

/// A connection is closed when sent data stays unacknowledged for this time, which allows several
/// retransmissions.
constexpr milliseconds unacknowledged_data_timeout{2'500};
constexpr seconds keepalive_idle{2};
constexpr seconds keepalive_interval{1};
constexpr int max_lost_probes = 2;

/// The server's idle timeout from `Keep-Alive: timeout=N`.
std::optional<seconds> keep_alive_timeout(const response_message& response) {
    const std::string_view text = view_of(response[http::field::keep_alive]);
    const std::size_t at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned value = 0;
    const char* first = text.data() + at + std::string_view("timeout=").size();
    const auto parsed = std::from_chars(first, text.data() + text.size(), value);
    return parsed.ec == std::errc() ? std::optional(seconds(value)) : std::nullopt;
}

} // namespace

void set_keepalive_options(tcp::socket& socket) {
    const int handle = socket.native_handle();
    const auto set = [handle](int level, int option, int value) {
        // On a kernel without one of these options, a dead peer is only detected later.
        (void)::setsockopt(handle, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(keepalive_idle.count()));
    set(IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(keepalive_interval.count()));
    set(IPPROTO_TCP, TCP_KEEPCNT, max_lost_probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged_data_timeout.count()));
}

struct connection_pool::connection {
    explicit connection(asio::io_context& context) : stream(context) {}

    /// False when the peer closed the connection or sent bytes that no request asked for.
    bool usable() {
        if (buffer.size() > 0) {
            return false;
        }
        char byte = 0;
        const ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    request_message request; ///< Must outlive the write, which may run concurrently with the read.
    common::steady_time idle_since;
    common::steady_time usable_until = common::steady_time::max();
    bool written = false;
    error_code write_error;
    bool responded = false; ///< A response was received, to whichever request.
    bool trusted = true;    ///< Every response named the request that waited for it.
};

connection_pool::connection_ptr connection_pool::take_idle(const common::endpoint& remote,
                                                           milliseconds max_idle_time) {
    const auto found = m_idle.find(remote);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const common::steady_time now = common::steady_clock::now();
    auto& idle = found->second;
    while (!idle.empty()) {
        // The most recently used connection is the least likely to have been closed by the peer.
        connection_ptr conn = std::move(idle.back());
        idle.pop_back();
        if (now - conn->idle_since > max_idle_time || now >= conn->usable_until) {
            // All remaining connections have been idle for longer.
            idle.clear();
            return nullptr;
        }
        if (conn->usable()) {
            return conn;
        }
    }
    return nullptr;
}

asio::awaitable<tl::expected<connection_pool::connection_ptr, exchange_error>>
connection_pool::open(common::endpoint remote, const exchange_options& options, cancellation_ptr cancelled) {
    error_code error;
    const auto address = asio::ip::make_address(remote.address, error);
    if (error) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::not_sent, "not an IP address"});
    }
    auto conn = std::make_shared<connection>(m_context);
    const common::steady_time now = common::steady_clock::now();
    conn->stream.expires_at(std::min(options.deadline, now + options.connect_timeout));
    const cancellation::action_guard guard(*cancelled, [conn] { conn->stream.close(); });
    co_await conn->stream.async_connect(tcp::endpoint(address, remote.port), redirect_error_to(error));
    if (cancelled->requested()) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::cancelled, "caller disconnected"});
    }
    if (error) {
        const bool refused = error == asio::error::connection_refused;
        co_return tl::unexpected(
            exchange_error{refused ? exchange_error_kind::connection_refused : exchange_error_kind::not_sent,
                           error.message()});
    }
    set_keepalive_options(conn->stream.socket());
    ++m_counters.opened;
    co_return conn;
}

/// Receives the next bytes. The stream's timer only ends a read that waits for data; data that is always
/// available never lets it expire, so the deadline is compared as well.
asio::awaitable<error_code> connection_pool::receive_some(connection& conn, common::steady_time deadline) {
    if (common::steady_clock::now() >= deadline) {
        co_return make_error_code(beast::error::timeout);
    }
    const std::size_t room = conn.buffer.max_size() - conn.buffer.size();
    if (room == 0) {
        co_return make_error_code(http::error::buffer_overflow);
    }
    error_code error;
    const std::size_t count = co_await conn.stream.async_read_some(
        conn.buffer.prepare(std::min(room, max_read_bytes)), redirect_error_to(error));
    conn.buffer.commit(count);
    co_return error;
}

/// Parses what has been received and receives more until `done()`. Returns to its caller's limits after each
/// read: Beast's own read operations go on for as long as the received bytes end within a chunk header.
asio::awaitable<error_code> connection_pool::parse_until(connection& conn, response_parser& parser,
                                                         const exchange_options& options,
                                                         const std::function<bool()>& done) {
    std::size_t parsed = 0;
    while (!done()) {
        error_code error;
        if (conn.buffer.size() > 0) {
            const std::size_t count = parser.put(conn.buffer.data(), error);
            conn.buffer.consume(count);
            parsed += count;
            if (!error && count > 0) {
                continue;
            }
        }
        if (error && error != http::error::need_more) {
            co_return error;
        }
        if (parsed > max_framing_bytes + parser.get().body().size() * max_framing_bytes_per_body_byte) {
            co_return make_error_code(http::error::body_limit);
        }
        error = co_await receive_some(conn, options.deadline);
        if (error == asio::error::eof && parser.got_some()) {
            parser.put_eof(error);
            co_return error;
        }
        if (error) {
            co_return error;
        }
    }
    co_return error_code{};
}

asio::awaitable<error_code> connection_pool::receive(connection& conn, response_parser& parser,
                                                     const exchange_options& options) {
    std::size_t counted = 0;
    ++m_receiving_responses;
    const common::scope_guard release([this, &counted] {
        m_receiving_bytes -= counted;
        --m_receiving_responses;
    });
    // GCC 12 mishandles some temporaries in a co_await expression, so the conditions have names.
    const std::function<bool()> header_done = [&parser] { return parser.is_header_done(); };
    error_code error = co_await parse_until(conn, parser, options, header_done);
    if (!error && exceeds_body_limit(parser, options.max_body_bytes)) {
        error = make_error_code(http::error::body_limit);
    }
    if (error) {
        co_return error;
    }
    parser.eager(true);
    bool displaced = false;
    const std::function<bool()> body_done = [&] {
        const std::size_t capacity = parser.get().body().capacity();
        m_receiving_bytes += capacity - counted;
        counted = capacity;
        // Cuts off a response of at least the mean size, so that those without end do not displace small
        // ones.
        displaced =
            m_receiving_bytes > max_receiving_bytes && capacity * m_receiving_responses >= m_receiving_bytes;
        return displaced || parser.is_done();
    };
    error = co_await parse_until(conn, parser, options, body_done);
    co_return displaced ? make_error_code(http::error::body_limit) : error;
}

asio::awaitable<tl::expected<response_message, exchange_error>>
connection_pool::read_response(connection_ptr conn, bool head_request, const exchange_options& options) {
    for (int unmatched = 0; unmatched <= max_unmatched_responses; ++unmatched) {
        response_parser parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(options.max_body_bytes);
        parser.skip(head_request);
        const error_code error = co_await receive(*conn, parser, options);
        if (error) {
            const auto kind = error == beast::error::timeout ? exchange_error_kind::timed_out
                                                             : exchange_error_kind::response_lost;
            co_return tl::unexpected(exchange_error{kind, error.message()});
        }
        const bool informational = parser.get().result_int() < 200;
        if (informational) {
            continue;
        }
        const bool keep_alive = parser.keep_alive();
        response_message response = parser.release();
        response.keep_alive(keep_alive);
        const bool first_on_connection = !std::exchange(conn->responded, true);
        const response_match match =
            options.match ? options.match(response, first_on_connection) : response_match::own;
        conn->trusted = conn->trusted && match == response_match::own;
        if (match != response_match::foreign) {
            co_return response;
        }
        ++m_counters.unmatched_responses;
        if (!keep_alive) {
            break;
        }
    }
    co_return tl::unexpected(
        exchange_error{exchange_error_kind::response_lost, "responses of other requests"});
}

asio::awaitable<void> connection_pool::write_large_request(connection_ptr conn, milliseconds duration) {
    http::request_serializer<http::string_body> serializer(conn->request);
    co_await write_paced(conn->stream, serializer, conn->request.body().size(), duration, conn->write_error);
    conn->written = true;
}

void connection_pool::return_to_pool(const common::endpoint& remote, connection_ptr conn,
                                     const response_message& response) {
    auto& idle = m_idle[remote];
    if (idle.size() >= max_idle_connections) {
        return;
    }
    conn->stream.expires_never();
    conn->idle_since = common::steady_clock::now();
    conn->usable_until = common::steady_time::max();
    if (const auto timeout = keep_alive_timeout(response)) {
        conn->usable_until =
            conn->idle_since + std::chrono::duration_cast<milliseconds>(*timeout * usable_idle_fraction);
    }
    conn->request = {};
    idle.push_back(std::move(conn));
}

asio::awaitable<tl::expected<response_message, exchange_error>>
connection_pool::exchange(common::endpoint remote, request_message request, exchange_options options,
                          cancellation_ptr cancelled) {
    if (cancelled->requested()) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::cancelled, "caller disconnected"});
    }
    connection_ptr conn = take_idle(remote, options.max_idle_time);
    if (conn) {
        ++m_counters.reused;
    } else {
        auto opened = co_await open(remote, options, cancelled);
        if (!opened) {
            co_return tl::unexpected(opened.error());
        }
        conn = std::move(*opened);
    }
    const bool head_request = request.method() == http::verb::head;
    conn->stream.expires_at(options.deadline);
    conn->request = std::move(request);
    conn->written = false;
    conn->write_error = {};
    const cancellation::action_guard guard(*cancelled, [conn] { conn->stream.close(); });
    if (conn->request.body().size() <= max_unpaced_body_bytes) {
        co_await http::async_write(conn->stream, conn->request, redirect_error_to(conn->write_error));
        conn->written = true;
    } else {
        // The target may respond before it has read a large body, so the response is read concurrently.
        asio::co_spawn(m_context, write_large_request(conn, options.body_send_duration), asio::detached);
    }
    auto response = co_await read_response(conn, head_request, options);
    if (cancelled->requested()) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::cancelled, "caller disconnected"});
    }
    if (!response) {
        conn->stream.close();
        co_return tl::unexpected(response.error());
    }
    const bool reusable = response->keep_alive() && conn->written && !conn->write_error &&
                          conn->buffer.size() == 0 && conn->trusted;
    if (reusable) {
        return_to_pool(remote, conn, *response);
    } else {
        conn->stream.close();
    }
    co_return std::move(*response);
}

void connection_pool::close_expired(common::steady_time now) {
    constexpr seconds max_kept_idle_time{8};
    for (auto& [remote, idle] : m_idle) {
        std::erase_if(idle, [now, max_kept_idle_time](const connection_ptr& conn) {
            return now - conn->idle_since > max_kept_idle_time || now >= conn->usable_until;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace boragehollow::forwarding
