#include "boragehollow/forwarding/call_attempt.hpp"

#include "boragehollow/forwarding/local_target.hpp"

#include <chrono>

namespace boragehollow::forwarding {

using balancing::attempt_outcome;

/// Result of an attempt whose client has disconnected.
call_attempt call_attempt::disconnected() {
    call_attempt result;
    result.cancelled = true;
    result.outcome = attempt_outcome::cancelled;
    result.detail = "caller disconnected";
    return result;
}

call_attempt call_attempt::with_revoked_key(std::optional<balancing::piggybacked_load> load) {
    call_attempt result;
    result.key_revoked = true;
    result.outcome = attempt_outcome::rejected;
    result.end = balancing::daemon_refused{std::chrono::milliseconds(0), true};
    result.load = load;
    result.detail = key_revoked_reason;
    return result;
}

/// The body was not sent, so the call has certainly not run.
call_attempt call_attempt::without_transfer(const transfer_refusal& refusal) {
    call_attempt result;
    if (!refusal.response) {
        result.end = balancing::request_not_sent{};
        result.detail = "no valid response to the reservation request";
        return result;
    }
    if (refusal.response->reason == key_revoked_reason) {
        return with_revoked_key(refusal.response->load);
    }
    result.end = balancing::daemon_refused{refusal.response->retry_after};
    result.outcome = attempt_outcome::refused;
    result.load = refusal.response->load;
    result.detail = refusal.response->reason;
    return result;
}

} // namespace boragehollow::forwarding
