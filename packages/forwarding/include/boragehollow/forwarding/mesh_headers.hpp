#pragma once

#include "boragehollow/accounts/account_index.hpp"
#include "boragehollow/admission/messages.hpp"
#include "boragehollow/admission/transfer_schedule.hpp"
#include "boragehollow/balancing/attempt.hpp"
#include "boragehollow/common/revision.hpp"
#include "boragehollow/forwarding/asio.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

/// Headers that carry call metadata between daemons. The receiving daemon removes them.
namespace boragehollow::forwarding {

/// Metadata that the target's daemon needs in addition to the request.
struct call_metadata {
    std::string service;
    std::string caller_host;
    std::string caller_service;
    std::string request_id;
    config::work_class work = config::work_class::short_work;
    bool idempotent = false;
    std::uint32_t priority = 0;
    std::chrono::microseconds time_left{0};
    /// Time until the soft deadline: 0 when it has passed, empty when the route states no target latency.
    std::optional<std::chrono::microseconds> soft_deadline_left;
    bool accepts_late = true; ///< The call waits even if its response will miss the soft deadline.
    common::revision config_version;
    bool retry = false;           ///< A target has received this call before.
    bool accepts_shedding = true; ///< The call may run at a target that sheds calls.
    std::string account;          ///< Account that makes the call; empty when it needs no key.
    accounts::key_fingerprint account_key;
    bool inner = false; ///< A running call of the caller's own target makes this call.
    /// Probability that a repeated call of the caller's own target made this call, in thousandths.
    std::uint32_t inherited_repeats_permille = 0;
    /// Set in a reservation request, which carries no body: the size of the body that the caller's daemon
    /// will send later.
    std::optional<std::size_t> transfer_bytes;
};

/// Outcome that the target's daemon states in each response.
enum class forwarding_outcome {
    answered, ///< The target sent the response.
    refused,  ///< The target's daemon did not admit the call.
    unsent,   ///< The target's daemon could not connect to the target.
    lost,     ///< The request was sent to the target, and no complete response arrived.
    reserved, ///< Response to a reservation request: the body may be sent in the window.
};

/// Metadata that the target's daemon adds to each response.
struct response_metadata {
    forwarding_outcome outcome = forwarding_outcome::lost;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
    std::optional<balancing::piggybacked_load> load;
    common::revision config_version;
    std::chrono::microseconds service_time{0};
    bool target_sheds = false;         ///< The target sheds a considerable part of its calls.
    admission::transfer_window window; ///< Only with `forwarding_outcome::reserved`.
};

void write_call_metadata(const call_metadata& call, request_message& request);

/// Parses the headers and removes them from the request; empty when one is missing or malformed.
std::optional<call_metadata> extract_call_metadata(request_message& request);

void write_response_metadata(const response_metadata& metadata, response_message& response);

/// Parses the headers and removes them from the response; empty when no daemon sent the response.
std::optional<response_metadata> extract_response_metadata(response_message& response);

/// Removes the headers that are reserved for daemons.
void remove_mesh_headers(http::fields& fields);

/// Removes the hop-by-hop headers of HTTP, which apply to a single connection.
void remove_hop_by_hop_headers(http::fields& fields);

/// Value of an unsigned integer header; empty when the header is absent or malformed.
std::optional<std::uint64_t> read_number(const http::fields& fields, std::string_view name);

} // namespace boragehollow::forwarding
