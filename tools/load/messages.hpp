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

/// One request, and when it has to be sent.
struct planned_request {
    std::string id;
    std::string key; ///< Idempotency key, or empty.
    request_kind kind = request_kind::short_work;
    std::string caller;
    std::size_t server = 0;
    steady_time intended;
};

enum class outcome {
    answered, ///< The complete response of a target to this request.
    not_run,
    unknown,
    broken,   ///< The connection ended without a complete response.
    wrong,    ///< A response or body that belongs to another request.
    not_sent, ///< The generator itself was not able to send it in time.
};

constexpr int outcome_count = 6;

struct answer {
    planned_request request;
    outcome result = outcome::not_sent;
    int status = 0;
    std::string reason;
    std::string target;
    std::string run; ///< Number of the run at the target.
    std::uint64_t body_size = 0;
    microseconds latency{0}; ///< Since the intended time.
    microseconds queued{0};  ///< Between the intended time and the sending.
    wall_time end;
};

using plan_ring = common::bounded_ring<planned_request>;
/// The recorder learns of every request before it is sent, so that it can name those that never end.
using record_message = std::variant<planned_request, answer>;
using record_ring = common::bounded_ring<record_message>;

const char* name_of(request_kind kind);
const char* name_of(outcome result);

} // namespace boragehollow::load
