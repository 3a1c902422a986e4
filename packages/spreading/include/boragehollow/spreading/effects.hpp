#pragma once

#include "boragehollow/spreading/messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Actions that the spreading engine requests of the duty that owns it.
namespace boragehollow::spreading {

/// Sends the records to each of the peers. A lost push is repaired by a pull.
struct push {
    std::vector<std::string> peers;
    std::vector<log_record> records;
};

/// Sends the request; the duty reports the result with `pull_replied` or `pull_failed` and the same id.
struct pull {
    std::uint64_t id = 0;
    std::string peer;
    pull_request request;
};

/// Replies to the request that was passed to `pull_received` with the same ticket.
struct send_pull_reply {
    std::uint64_t ticket = 0;
    pull_reply content;
};

/// Applies records that follow without a gap on those applied before.
struct apply_records {
    std::vector<log_record> records;
};

/// Replaces the state by one with a higher version than all records and snapshots before.
struct apply_snapshot {
    encoded_snapshot snapshot;
};

/// Reads the newest snapshot of the platform's snapshot stream.
struct request_platform_snapshot {};

/// Appends the last applied state, which has this version, to the platform's snapshot stream.
struct append_snapshot {
    revision version;
};

/// Starts or stops reading the platform's configuration stream after `position`.
struct log_reading_changed {
    bool active = false;
    revision position;
};

struct readiness_changed {
    bool ready = false;
};

/// Two daemons derived different states from the same records.
struct digest_mismatch {
    std::string peer;
    revision version;
    std::uint64_t own = 0;
    std::uint64_t theirs = 0;
};

using effect =
    std::variant<push, pull, send_pull_reply, apply_records, apply_snapshot, request_platform_snapshot,
                 append_snapshot, log_reading_changed, readiness_changed, digest_mismatch>;
using effects = std::vector<effect>;

} // namespace boragehollow::spreading
