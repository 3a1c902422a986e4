#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace boragehollow::load {

using common::steady_time;
using common::wall_time;
using std::chrono::microseconds;

enum class request_kind { short_work, order, long_work, upload, download };

constexpr int kind_count = 5;

/// A request and the time at which it is due.
struct planned_request {
    std::string id;
    std::string key; ///< Idempotency key; empty for requests without one.
    request_kind kind = request_kind::short_work;
    std::string caller;
    std::size_t server = 0;
    steady_time intended; ///< When the request is due.
};

enum class request_outcome {
    answered, ///< A target sent a complete response to this request.
    not_run,  ///< The request was refused or could not be delivered; no target executed it.
    unknown,  ///< The daemon reported that a target may have executed the request.
    broken,   ///< The connection failed before the complete response arrived.
    wrong,    ///< The response or its body belongs to another request.
    not_sent, ///< No worker of the load generator was free in time.
};

constexpr int outcome_count = 6;

/// The outcome of a request and the details that the recorder writes.
struct request_result {
    planned_request request;
    request_outcome outcome = request_outcome::not_sent;
    int status = 0;
    std::string reason;
    std::string target;
    std::string run; ///< The target's execution number, from the x-run header.
    std::uint64_t body_size = 0;
    microseconds latency{0}; ///< From the intended time to the end of the response.
    microseconds queued{0};  ///< From the intended time until a worker sent the request.
    wall_time end;
};

using plan_ring = common::bounded_ring<planned_request>;
/// Every request is recorded before it is sent, so that the recorder can report those that never complete.
using record_message = std::variant<planned_request, request_result>;
using record_ring = common::bounded_ring<record_message>;

const char* name_of(request_kind kind);
const char* name_of(request_outcome outcome);

} // namespace boragehollow::load
