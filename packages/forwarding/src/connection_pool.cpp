#include "boragehollow/forwarding/connection_pool.hpp"

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

/// Responses of earlier requests that are dropped before the connection is given up.
constexpr int most_foreign_responses = 4;

/// Part of a server's stated idle time after which a connection is no longer used, so that the server does
/// not close it while a request is on its way.
constexpr double used_idle_share = 0.7;

/// Idle connections that are kept for one address.
constexpr std::size_t most_idle = 64;

/// A body up to this size fits into the socket's buffers, so that it is written before the response is read.
constexpr std::size_t small_body = 8 * 1024;

/// Part of a large body that is written at once. A link of 7 Mbit/s carries it in 9 ms, which is what another
/// message waits behind it.
constexpr std::size_t body_part = 8 * 1024;

constexpr std::size_t largest_header = 64 * 1024;

/// Unacknowledged data ends a connection after this time; several retransmissions fit into it.
constexpr milliseconds unacknowledged_limit{2'500};
constexpr seconds probe_after{2};
constexpr seconds probe_interval{1};
constexpr int lost_probes = 2;

/// Idle time that the server states in `Keep-Alive: timeout=N`.
std::optional<seconds> stated_idle_time(const response_message& response) {
    const std::string_view text = view_of(response[http::field::keep_alive]);
    const std::size_t at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned value = 0;
    const char* begin = text.data() + at + std::string_view("timeout=").size();
    const auto parsed = std::from_chars(begin, text.data() + text.size(), value);
    return parsed.ec == std::errc() ? std::optional(seconds(value)) : std::nullopt;
}

} // namespace

void set_liveness_options(tcp::socket& socket) {
    const int handle = socket.native_handle();
    const auto set = [handle](int level, int option, int value) {
        // A kernel that lacks an option only detects a silent peer later.
        (void)::setsockopt(handle, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(probe_after.count()));
    set(IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(probe_interval.count()));
    set(IPPROTO_TCP, TCP_KEEPCNT, lost_probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged_limit.count()));
}

struct connection_pool::connection {
    explicit connection(asio::io_context& context) : stream(context) {}

    /// The peer neither closed the connection nor sent bytes that belong to no request.
    bool quiet() {
        if (buffer.size() > 0) {
            return false;
        }
        char byte = 0;
        const ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    request_message request; ///< Kept here while it is written beside the read.
    common::steady_time idle_since;
    common::steady_time usable_until = common::steady_time::max();
    bool written = false;
    error_code write_error;
};

connection_pool::connection_ptr connection_pool::take_idle(const common::endpoint& remote,
                                                           milliseconds longest_idle) {
    const auto found = m_idle.find(remote);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const common::steady_time now = common::steady_clock::now();
    auto& idle = found->second;
    while (!idle.empty()) {
        // The connection that was used last is the least likely to have been closed by the peer.
        connection_ptr link = std::move(idle.back());
        idle.pop_back();
        if (now - link->idle_since > longest_idle || now >= link->usable_until) {
            // All others have been idle for longer.
            idle.clear();
            return nullptr;
        }
        if (link->quiet()) {
            return link;
        }
    }
    return nullptr;
}

asio::awaitable<tl::expected<connection_pool::connection_ptr, exchange_error>>
connection_pool::open(common::endpoint remote, const exchange_options& options, cancellation_ptr cancelled) {
    error_code failed;
    const auto address = asio::ip::make_address(remote.address, failed);
    if (failed) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::not_sent, "not an IP number"});
    }
    auto link = std::make_shared<connection>(m_context);
    const common::steady_time now = common::steady_clock::now();
    link->stream.expires_at(std::min(options.deadline, now + options.connect_timeout));
    const cancellation::stage stage(*cancelled, [link] { link->stream.close(); });
    co_await link->stream.async_connect(tcp::endpoint(address, remote.port), result_in(failed));
    if (cancelled->requested()) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::cancelled, "caller left"});
    }
    if (failed) {
        const bool refused = failed == asio::error::connection_refused;
        co_return tl::unexpected(exchange_error{
            refused ? exchange_error_kind::refused : exchange_error_kind::not_sent, failed.message()});
    }
    set_liveness_options(link->stream.socket());
    ++m_counters.opened;
    co_return link;
}

asio::awaitable<tl::expected<response_message, exchange_error>>
connection_pool::read_response(connection_ptr link, bool head_request, const exchange_options& options) {
    for (int foreign = 0; foreign <= most_foreign_responses; ++foreign) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(largest_header);
        parser.body_limit(options.largest_body);
        parser.skip(head_request);
        error_code failed;
        co_await http::async_read(link->stream, link->buffer, parser, result_in(failed));
        if (failed) {
            const auto kind =
                failed == beast::error::timeout ? exchange_error_kind::timed_out : exchange_error_kind::lost;
            co_return tl::unexpected(exchange_error{kind, failed.message()});
        }
        const bool informational = parser.get().result_int() < 200;
        if (informational) {
            continue;
        }
        const bool keep = parser.keep_alive();
        response_message response = parser.release();
        response.keep_alive(keep);
        if (!options.accepts || options.accepts(response)) {
            co_return response;
        }
        ++m_counters.foreign_responses;
        if (!keep) {
            break;
        }
    }
    co_return tl::unexpected(exchange_error{exchange_error_kind::lost, "responses of other requests"});
}

asio::awaitable<void> connection_pool::write_large(connection_ptr link, milliseconds spread) {
    http::request_serializer<http::string_body> serializer(link->request);
    serializer.limit(body_part);
    const std::size_t parts = link->request.body().size() / body_part + 1;
    const auto pause = std::chrono::duration_cast<std::chrono::microseconds>(spread) / parts;
    asio::steady_timer timer(m_context, common::steady_clock::now());
    while (!serializer.is_done() && !link->write_error) {
        error_code ignored;
        co_await timer.async_wait(result_in(ignored));
        co_await http::async_write_some(link->stream, serializer, result_in(link->write_error));
        timer.expires_at(timer.expiry() + pause);
    }
    link->written = true;
}

void connection_pool::keep(const common::endpoint& remote, connection_ptr link,
                           const response_message& response) {
    auto& idle = m_idle[remote];
    if (idle.size() >= most_idle) {
        return;
    }
    link->stream.expires_never();
    link->idle_since = common::steady_clock::now();
    link->usable_until = common::steady_time::max();
    if (const auto stated = stated_idle_time(response)) {
        link->usable_until =
            link->idle_since + std::chrono::duration_cast<milliseconds>(*stated * used_idle_share);
    }
    link->request = {};
    idle.push_back(std::move(link));
}

asio::awaitable<tl::expected<response_message, exchange_error>>
connection_pool::exchange(common::endpoint remote, request_message request, exchange_options options,
                          cancellation_ptr cancelled) {
    if (cancelled->requested()) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::cancelled, "caller left"});
    }
    connection_ptr link = take_idle(remote, options.longest_idle);
    if (link) {
        ++m_counters.reused;
    } else {
        auto opened = co_await open(remote, options, cancelled);
        if (!opened) {
            co_return tl::unexpected(opened.error());
        }
        link = std::move(*opened);
    }
    const bool head_request = request.method() == http::verb::head;
    link->stream.expires_at(options.deadline);
    link->request = std::move(request);
    link->written = false;
    link->write_error = {};
    const cancellation::stage stage(*cancelled, [link] { link->stream.close(); });
    if (link->request.body().size() <= small_body) {
        co_await http::async_write(link->stream, link->request, result_in(link->write_error));
        link->written = true;
    } else {
        // A target may answer before it has read a long body, so the body is written beside the read.
        asio::co_spawn(m_context, write_large(link, options.body_spread), asio::detached);
    }
    auto response = co_await read_response(link, head_request, options);
    if (cancelled->requested()) {
        co_return tl::unexpected(exchange_error{exchange_error_kind::cancelled, "caller left"});
    }
    if (!response) {
        link->stream.close();
        co_return tl::unexpected(response.error());
    }
    const bool reusable =
        response->keep_alive() && link->written && !link->write_error && link->buffer.size() == 0;
    if (reusable) {
        keep(remote, link, *response);
    } else {
        link->stream.close();
    }
    co_return std::move(*response);
}

void connection_pool::expire(common::steady_time now) {
    constexpr seconds longest_kept{8};
    for (auto& [remote, idle] : m_idle) {
        std::erase_if(idle, [now, longest_kept](const connection_ptr& link) {
            return now - link->idle_since > longest_kept || now >= link->usable_until;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace boragehollow::forwarding
