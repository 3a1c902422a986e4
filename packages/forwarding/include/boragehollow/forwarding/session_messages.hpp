#pragma once

#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/forwarding/cancellation.hpp"

#include <chrono>

/// What a session and the handler of its requests tell each other besides the messages.
namespace boragehollow::forwarding {

struct request_context {
    cancellation_ptr cancelled; ///< Triggered when the client closes its connection.
    /// The client has the address of this host: the local target makes a call of its own.
    bool from_own_host = false;
};

struct session_response {
    response_message message;
    /// Time over which a large body is sent, in chunks. 0: without pauses.
    std::chrono::milliseconds body_send_duration{0};
};

} // namespace boragehollow::forwarding
