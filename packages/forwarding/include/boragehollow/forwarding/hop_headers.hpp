#pragma once

#include "boragehollow/admission/messages.hpp"
#include "boragehollow/admission/transfer_schedule.hpp"
#include "boragehollow/balancing/attempt.hpp"
#include "boragehollow/common/revision.hpp"
#include "boragehollow/forwarding/asio.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

/// Headers that daemons add to a call on its way between them, and remove again.
namespace boragehollow::forwarding {

/// What the daemon of the target must know of a call besides the request itself.
struct hop_call {
    std::string service;
    std::string caller_host;
    std::string caller_service;
    std::string request_id;
    config::work_class work = config::work_class::short_work;
    bool idempotent = false;
    std::uint32_t priority = 0;
    std::chrono::microseconds time_left{0};
    /// Time in which an answer is worth most; 0 when it is over, empty when the route states none.
    std::optional<std::chrono::microseconds> soft_deadline_left;
    bool accepts_late = true; ///< The call waits although its answer will miss the aim.
    common::revision config_version;
    /// Size of the body that the caller's daemon wants to send. The request then only asks when.
    std::optional<std::size_t> transfer_bytes;
};

/// What the target's daemon says with each answer.
enum class hop_outcome {
    answered, ///< The response is the target's.
    refused,  ///< The call did not reach the target.
    unsent,   ///< The target's daemon could not connect to it.
    lost,     ///< Sent to the target, without a complete response.
    reserved, ///< Nothing was sent to the target; the body may be sent in the window.
};

struct hop_report {
    hop_outcome outcome = hop_outcome::lost;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
    std::optional<balancing::piggybacked_load> load;
    common::revision config_version;
    std::chrono::microseconds service_time{0};
    admission::transfer_window window; ///< Of a reservation.
};

void write_hop_call(const hop_call& call, request_message& request);

/// Takes the headers out of the request; empty when one is missing or malformed.
std::optional<hop_call> take_hop_call(request_message& request);

void write_hop_report(const hop_report& report, response_message& response);

/// Takes the headers out of the response; empty when it is no answer of a daemon.
std::optional<hop_report> take_hop_report(response_message& response);

/// Removes the headers that only daemons set.
void remove_hop_headers(http::fields& fields);

/// Removes the headers that concern one connection only.
void remove_connection_headers(http::fields& fields);

/// Whole number of a header; empty when it is absent or malformed.
std::optional<std::uint64_t> number_in(const http::fields& fields, std::string_view name);

} // namespace boragehollow::forwarding
