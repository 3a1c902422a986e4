#include "boragehollow/forwarding/transfer_reservation.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::forwarding {

namespace {

/// A busy daemon responds to a reservation request within this time.
constexpr std::chrono::milliseconds reservation_timeout{400};

} // namespace

asio::awaitable<tl::expected<admission::transfer_window, transfer_refusal>>
reserve_transfer(asio::io_context& context, connection_pool& pool, common::endpoint peer, call_metadata call,
                 std::size_t bytes, common::steady_time deadline, cancellation_ptr cancelled) {
    call.transfer_bytes = bytes;
    request_message request{http::verb::get, "/", 11};
    write_call_metadata(call, request);
    request.keep_alive(true);
    request.prepare_payload();
    exchange_options options;
    options.deadline = std::min(deadline, common::steady_clock::now() + reservation_timeout);
    options.connect_timeout = peer_connect_timeout;
    options.max_idle_time = max_peer_idle_time;
    auto response =
        co_await pool.exchange(std::move(peer), std::move(request), std::move(options), cancelled);
    auto metadata = response ? extract_response_metadata(*response) : std::nullopt;
    if (!metadata || metadata->outcome != forwarding_outcome::reserved) {
        co_return tl::unexpected(transfer_refusal{std::move(metadata)});
    }
    if (metadata->window.begin_after.count() > 0 && !cancelled->requested()) {
        asio::steady_timer timer(context, metadata->window.begin_after);
        error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
    }
    co_return metadata->window;
}

} // namespace boragehollow::forwarding
