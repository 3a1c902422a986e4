#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What a scenario saw of the mesh; the checker compares it with the guarantees.
namespace boragehollow::scenario {

enum class call_outcome {
    answered, ///< A complete response of a target.
    not_run,
    unknown,
    broken, ///< The connection ended before a complete response; nothing was promised.
};

/// One answer as its caller saw it.
struct call_answer {
    std::string id;
    std::string method;
    std::string idempotency_key;
    std::string via;
    common::wall_time sent{};
    std::chrono::microseconds took{0};
    call_outcome outcome = call_outcome::broken;
    int status = 0;
    std::string reason;
    std::string target;       ///< Target that says it answered.
    std::string returned_id;  ///< Id that the target says it answered.
    bool body_matches = true; ///< The body has the digest that the target declared.
};

struct ledger_entry {
    std::string id;
    std::string method;
    common::wall_time begun{};

    bool operator==(const ledger_entry&) const = default;
};

/// Requests that one target has begun, in order.
struct ledger {
    std::string target;
    std::vector<ledger_entry> entries;
    bool complete = true; ///< False when the target ended before its ledger could be read.
};

/// State of one daemon at one moment.
struct daemon_sample {
    std::string daemon;
    common::wall_time at{};
    bool ready = false;
    std::uint64_t version = 0;
    std::string digest;
    std::size_t members_alive = 0;
};

/// From `since` on the target must receive no new work, until it is `back`.
struct departure {
    std::string target;
    common::wall_time since{};
    std::optional<common::wall_time> back;
};

struct observations {
    std::vector<call_answer> answers;
    std::vector<ledger> ledgers;
    std::vector<daemon_sample> samples;
    std::vector<departure> departures;
    std::vector<telemetry::timeline_event> timeline;
};

std::string_view to_string(call_outcome outcome);

} // namespace boragehollow::scenario
