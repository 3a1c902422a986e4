#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/config/resource.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Messages of a call between the caller's daemon and the target's daemon.
namespace boragehollow::peer {

using std::chrono::microseconds;
using std::chrono::milliseconds;

using header_fields = std::vector<std::pair<std::string, std::string>>;

/// All that the target's daemon needs to admit and run a call. It does not rely on a configuration snapshot
/// of its own, which may differ from that of the caller's daemon.
struct call_head {
    std::string call_id;
    std::string service;
    std::string method;
    std::string target_path; ///< Path and query as received from the caller.
    header_fields headers;
    config::work_class work = config::work_class::short_work;
    bool idempotent = false;
    std::optional<std::string> idempotency_key;
    std::string caller;
    microseconds remaining{0}; ///< Time until the deadline when the message is sent.
    common::wall_time deadline{};
    std::uint32_t attempt = 1;
    bool has_body = false;
    std::optional<std::uint64_t> content_length; ///< Empty for a chunked body.
    common::revision config_version;
    std::string target_host;
};

struct call_request_part {
    std::optional<call_head> head; ///< Set in the first part only.
    std::string data;
    bool end = false;
};

/// Outcome that is reported to the caller of a call without a complete response.
enum class call_outcome { not_run, unknown };

struct call_failure {
    call_outcome outcome = call_outcome::unknown;
    std::string reason; ///< Machine-readable.
    std::string detail; ///< Human-readable.
    milliseconds retry_after{0};
};

struct reply_head {
    int status = 0;
    header_fields headers;
    std::optional<std::uint64_t> content_length;
};

struct target_load {
    std::uint32_t queued = 0;
    std::uint32_t in_use = 0;
    std::uint32_t slots = 0;
};

struct call_reply_part {
    std::optional<reply_head> head; ///< Set in the first part of a response.
    std::string data;
    bool end = false;
    std::optional<call_failure> failure; ///< Ends the call without a complete response.
    std::optional<target_load> load;
};

} // namespace boragehollow::peer
