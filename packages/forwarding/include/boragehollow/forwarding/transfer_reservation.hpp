#pragma once

#include "boragehollow/forwarding/connection_pool.hpp"
#include "boragehollow/forwarding/mesh_headers.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <optional>

namespace boragehollow::forwarding {

/// A connection between daemons takes a round trip; a lost packet adds a retransmission after 200 ms.
constexpr std::chrono::milliseconds peer_connect_timeout{350};
constexpr std::chrono::milliseconds max_peer_idle_time{6'000};

/// The target's daemon refused the transfer, or gave no valid response.
struct transfer_refusal {
    std::optional<response_metadata> response;
};

/// Reserves link time at the daemon of a target for a body of `bytes`, and waits until the reserved window
/// begins. Returns when the caller disconnects, too.
asio::awaitable<tl::expected<admission::transfer_window, transfer_refusal>>
reserve_transfer(asio::io_context& context, connection_pool& pool, common::endpoint peer, call_metadata call,
                 std::size_t bytes, common::steady_time deadline, cancellation_ptr cancelled);

} // namespace boragehollow::forwarding
