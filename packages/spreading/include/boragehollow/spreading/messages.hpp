#pragma once

#include "boragehollow/common/revision.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Values that daemons exchange about the configuration log. Record and snapshot bytes are never decoded
/// here.
namespace boragehollow::spreading {

using common::revision;

/// Shared, so that one record can wait in several outgoing messages without being copied.
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
    encoded_bytes bytes; ///< Null in an `answer` effect: the duty attaches the state that it last applied.
};

struct pull_request {
    std::string from_host;
    revision version;          ///< Last record that the sender holds without a gap.
    std::uint64_t digest = 0;  ///< Of the state at `version`; 0 while that record is not applied yet.
    std::string floor_of_host; ///< Host whose version floor the sender asks for; empty once it is ready.
};

struct nothing_newer {};

struct newer_records {
    std::vector<log_record> records;
};

/// The responder sends as many snapshots as it may at once.
struct retry_later {
    std::chrono::milliseconds delay{0};
};

using pull_reply_body = std::variant<nothing_newer, newer_records, encoded_snapshot, retry_later>;

struct pull_reply {
    pull_reply_body body;
    revision responder_version;
    std::uint64_t responder_digest = 0;
    bool responder_ready = false;
    revision floor; ///< Highest version that the responder knows the named host to have applied.
};

} // namespace boragehollow::spreading
