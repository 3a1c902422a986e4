#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Observations of a scenario run, which the checker compares with the guarantees.
namespace boragehollow::scenario {

enum class call_outcome {
    answered, ///< The caller received a complete response from a target.
    not_run,  ///< The daemon reported that the request was not executed, or the request was never sent.
    unknown,  ///< The daemon reported that the request may have been executed.
    broken,   ///< The connection ended before a complete response; no guarantee applies to the outcome.
};

/// Result of one call as the caller observed it.
struct call_result {
    std::string id;
    std::string method;
    std::string idempotency_key;
    std::string via; ///< Daemon that received the call.
    common::wall_time sent{};
    std::chrono::microseconds duration{0};
    call_outcome outcome = call_outcome::broken;
    int status = 0;
    std::string reason;
    std::string target;       ///< Name of the target, from the response headers.
    std::string returned_id;  ///< Request id, from the response headers.
    bool body_matches = true; ///< The digests declared by the target match the request and response bodies.
};

/// One request that a target began to execute.
struct ledger_entry {
    std::string id;
    std::string method;
    common::wall_time started{};

    bool operator==(const ledger_entry&) const = default;
};

/// Requests that one target began to execute, in order.
struct ledger {
    std::string target;
    std::vector<ledger_entry> entries;
    bool complete = true; ///< False if the target ended before its ledger could be read.
};

/// Status of one daemon at one point in time.
struct daemon_sample {
    std::string daemon;
    common::wall_time at{};
    bool ready = false;
    std::uint64_t version = 0;
    std::string digest; ///< Empty if it was not read.
    std::size_t members_alive = 0;
};

/// Period in which a target must receive no new requests: from `since` until it is available again.
struct departure {
    std::string target;
    common::wall_time since{};
    std::optional<common::wall_time> returned;
};

/// Everything that was recorded during a run.
struct observations {
    std::vector<call_result> results;
    std::vector<ledger> ledgers;
    std::vector<daemon_sample> samples;
    std::vector<departure> departures;
    std::vector<telemetry::timeline_event> timeline;
};

std::string_view to_string(call_outcome outcome);

} // namespace boragehollow::scenario
