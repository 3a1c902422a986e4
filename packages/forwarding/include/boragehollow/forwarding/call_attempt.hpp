#pragma once

#include "boragehollow/balancing/attempt.hpp"
#include "boragehollow/balancing/retry_controller.hpp"
#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/forwarding/transfer_reservation.hpp"

#include <optional>
#include <string>

namespace boragehollow::forwarding {

/// Result of one attempt to run a call at a target.
struct call_attempt {
    static call_attempt disconnected();

    /// A newer configuration revoked the key of the call. `load` is that of the target whose daemon found it.
    static call_attempt with_revoked_key(std::optional<balancing::piggybacked_load> load);
    static call_attempt without_transfer(const transfer_refusal& refusal);

    balancing::attempt_end end;
    balancing::attempt_outcome outcome = balancing::attempt_outcome::failed;
    std::optional<response_message> response;
    std::optional<balancing::piggybacked_load> load;
    std::string detail;
    bool cancelled = false;
    bool key_revoked = false; ///< The call did not reach the target: a newer configuration revoked its key.
};

} // namespace boragehollow::forwarding
