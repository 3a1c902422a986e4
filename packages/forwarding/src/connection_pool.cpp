#include "boragehollow/forwarding/connection_pool.hpp"

#include "boragehollow/common/response_status.hpp"
#include "boragehollow/common/scope_guard.hpp"
#include "boragehollow/forwarding/message_parsing.hpp"
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

/// First read of a response, which usually has all of a small one. A call holds this buffer, which no lease
/// covers, for as long as it waits.
constexpr std::size_t min_head_read_bytes = 8 * 1024;

/// Bytes that are received but not yet parsed. The parser alone does not limit a chunk extension, so that a
/// peer could send one without end.
constexpr std::size_t max_unparsed_bytes = 256 * 1024;

/// Memory that is leased first for a body without a stated length.
constexpr std::size_t min_step_bytes = 4 * 1024;

/// Memory of a response besides its body.
constexpr std::size_t response_overhead_bytes = 2 * 1024;

/// Memory of the bodies that are being received by one pool. A target host may have 110 MB of memory and 12
/// calls at once, each with a body up to the limit of a single response.
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
    explicit connection(asio::io_context& context) : stream(context), write_ended(context) {}

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
    asio::steady_timer write_ended; ///< Cancelled when `written` is set.
    bool responded = false;         ///< A response was received, to whichever request.
    bool trusted = true;            ///< Every response named the request that waited for it.
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
asio::awaitable<error_code> connection_pool::receive_some(connection& conn, std::size_t wanted_bytes,
                                                          common::steady_time deadline) {
    if (common::steady_clock::now() >= deadline) {
        co_return make_error_code(beast::error::timeout);
    }
    const std::size_t room = conn.buffer.max_size() - conn.buffer.size();
    if (room == 0) {
        co_return make_error_code(http::error::buffer_overflow);
    }
    error_code error;
    const std::size_t count = co_await conn.stream.async_read_some(
        conn.buffer.prepare(std::min(room, wanted_bytes)), redirect_error_to(error));
    conn.buffer.commit(count);
    co_return error;
}

asio::awaitable<error_code> connection_pool::receive_header(connection& conn, response_parser& parser,
                                                            const exchange_options& options) {
    std::size_t parsed = 0;
    while (true) {
        error_code error = parse_received(conn.buffer, parser, message_part::header, parsed);
        if (error != http::error::need_more) {
            co_return error;
        }
        const std::size_t wanted_bytes = std::clamp(conn.buffer.size(), min_head_read_bytes, max_read_bytes);
        error = co_await receive_some(conn, wanted_bytes, options.deadline);
        if (error) {
            co_return error;
        }
    }
}

/// Waits for the end of the write of the request. The kernel reports a reset once: if the write got it, a
/// read sees the same as after a regular end of the connection, which would complete a response without a
/// length.
asio::awaitable<bool> connection_pool::is_request_written(connection& conn, common::steady_time deadline) {
    while (!conn.written && common::steady_clock::now() < deadline) {
        conn.write_ended.expires_at(deadline);
        error_code ignored;
        co_await conn.write_ended.async_wait(redirect_error_to(ignored));
    }
    co_return conn.written && !conn.write_error;
}

/// Cuts off a response of at least the mean size, so that those without end do not displace small ones.
bool connection_pool::displaces_others(std::size_t capacity) const {
    return m_receiving_bytes > max_receiving_bytes && capacity * m_receiving_responses >= m_receiving_bytes;
}

asio::awaitable<error_code> connection_pool::receive_body(connection& conn, response_parser& parser,
                                                          const exchange_options& options) {
    const memory_lease_ptr lease = m_memory->open(resources::holder_activity::receiving);
    parser.get().body().hold(lease);
    lease->on_eviction([&conn] { conn.stream.close(); });
    const common::scope_guard received([&lease] {
        lease->on_eviction(nullptr);
        lease->set_activity(resources::holder_activity::held);
    });
    std::size_t counted = 0;
    ++m_receiving_responses;
    const common::scope_guard release([this, &counted] {
        m_receiving_bytes -= counted;
        --m_receiving_responses;
    });
    std::size_t parsed = 0;
    while (true) {
        error_code error = parse_received(conn.buffer, parser, message_part::body, parsed);
        const std::size_t capacity = parser.get().body().capacity();
        m_receiving_bytes += capacity - counted;
        counted = capacity;
        if (displaces_others(capacity)) {
            co_return make_error_code(http::error::body_limit);
        }
        const bool complete = error != http::error::need_more;
        // The rest of a stated length is leased at once, so that a body that was begun can be completed.
        const std::size_t rest = complete ? 0
                                          : parser.content_length_remaining().value_or(std::clamp(
                                                parser.get().body().size(), min_step_bytes, max_read_bytes));
        const std::size_t bytes =
            response_overhead_bytes + conn.buffer.capacity() + parser.get().body().capacity_with(rest);
        std::optional<bool> granted = lease->try_acquire(bytes);
        if (!granted) {
            granted = co_await lease->acquire(bytes);
        }
        if (!*granted) {
            co_return make_error_code(http::error::body_limit);
        }
        if (complete) {
            lease->release_to(response_overhead_bytes + capacity);
            co_return error;
        }
        const std::size_t before = conn.buffer.size();
        error = co_await receive_some(conn, max_read_bytes, options.deadline);
        if (error == asio::error::eof && parser.got_some()) {
            if (parser.need_eof() && !co_await is_request_written(conn, options.deadline)) {
                co_return make_error_code(http::error::partial_message);
            }
            parser.put_eof(error);
            co_return error;
        }
        if (error) {
            co_return error;
        }
        lease->record_progress(conn.buffer.size() - before);
    }
}

asio::awaitable<error_code> connection_pool::receive(connection& conn, response_parser& parser,
                                                     const exchange_options& options) {
    const error_code error = co_await receive_header(conn, parser, options);
    if (error) {
        co_return error;
    }
    if (exceeds_body_limit(parser, options.max_body_bytes)) {
        co_return make_error_code(http::error::body_limit);
    }
    parser.eager(true);
    co_return co_await receive_body(conn, parser, options);
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
        const unsigned status = parser.get().result_int();
        if (common::is_informational(status)) {
            continue;
        }
        if (!common::is_final_status(status)) {
            co_return tl::unexpected(exchange_error{exchange_error_kind::response_lost,
                                                    "invalid status " + std::to_string(status)});
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
    http::request_serializer<shared_body> serializer(conn->request);
    co_await write_paced(conn->stream, serializer, conn->request.body().size(), duration, conn->write_error,
                         [](std::size_t) {});
    conn->written = true;
    conn->write_ended.cancel();
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
    release_empty_buffer(conn->buffer);
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
