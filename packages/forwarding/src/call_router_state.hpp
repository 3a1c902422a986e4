#pragma once

#include "boragehollow/balancing/late_response_policy.hpp"
#include "boragehollow/forwarding/call_router.hpp"

#include <optional>
#include <string>

namespace boragehollow::forwarding {

struct call_router::call {
    request_message request; ///< As sent to the targets, without the headers of one attempt.
    std::string id;
    routing::matched_route matched;
    std::string service;
    common::steady_time received;
    common::steady_time deadline;
    std::optional<common::steady_time> soft_deadline; ///< End of the route's target latency.
    balancing::late_response_policy late_responses;
    cancellation_ptr client;   ///< Requested when the client has disconnected.
    std::string attempt_trace; ///< Host and outcome of each attempt, for the log.
    std::uint32_t attempts = 0;
    bool received_by_target = false; ///< An attempt may have reached a target, whether it ran there or not.
    /// The call may run at a target that sheds calls: another daemon has refused it for this reason, or most
    /// targets of the service shed calls.
    bool accepts_shedding = false;
    double inherited_repeats = 0;
    bool offered_late = true; ///< The current attempt accepts a response after the soft deadline.
    call_account account;
    bool inner = false; ///< Made by a running call of the target on this host, and precedes outer calls.
};

} // namespace boragehollow::forwarding
