#pragma once

#include "boragehollow/common/revision.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Messages between daemons about the configuration log. Records and snapshots are opaque bytes here.
namespace boragehollow::spreading {

using common::revision;

/// Shared, so that several outgoing messages can refer to one record without a copy.
using encoded_bytes = std::shared_ptr<const std::string>;

/// One record of the configuration stream.
struct log_record {
    revision offset;
    encoded_bytes bytes;

    std::size_t size() const { return bytes ? bytes->size() : 0; }
};

/// A whole configuration state.
struct encoded_snapshot {
    revision version;
    std::uint64_t digest = 0;
    encoded_bytes bytes; ///< Null in a `send_pull_reply` effect: the duty attaches the last applied state.
};

struct pull_request {
    std::string from_host;
    revision version;          ///< Offset up to which the sender holds all records.
    std::uint64_t digest = 0;  ///< Digest of the state at `version`; 0 while that record is not applied.
    std::string floor_of_host; ///< Host whose version floor is requested; empty once the sender is ready.
};

struct nothing_newer {};

struct newer_records {
    std::vector<log_record> records;
};

/// The responder already has the maximum number of snapshot transfers in progress.
struct retry_later {
    std::chrono::milliseconds delay{0};
};

using pull_reply_body = std::variant<nothing_newer, newer_records, encoded_snapshot, retry_later>;

struct pull_reply {
    pull_reply_body body;
    revision responder_version;
    std::uint64_t responder_digest = 0;
    bool responder_ready = false;
    revision floor; ///< Highest version that `floor_of_host` has applied, as far as the responder knows.
};

} // namespace boragehollow::spreading
