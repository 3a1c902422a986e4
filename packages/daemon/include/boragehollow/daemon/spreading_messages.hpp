#pragma once

#include "boragehollow/codec/state_codec.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/spreading/spreading_engine.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between the duties that distribute configuration records to this daemon and to its peers.
namespace boragehollow::daemon {

struct log_records_read {
    std::vector<spreading::log_record> records;
};

struct log_end_reached {
    spreading::log_extent extent;
};

struct log_unreachable {};

struct platform_snapshot_read {
    spreading::encoded_snapshot snapshot;
};

struct platform_snapshot_missing {};

struct snapshot_stored {
    common::revision version;
};

struct snapshot_store_failed {};

struct push_from_peer {
    std::string from;
    std::vector<spreading::log_record> records;
};

/// The reply stays unset when the duty is overloaded.
struct pull_from_peer {
    spreading::pull_request request;
    common::reply_slot<spreading::pull_reply> reply;
};

struct pull_replied {
    std::uint64_t id = 0;
    std::string peer;
    spreading::pull_reply reply;
};

struct pull_failed {
    std::uint64_t id = 0;
};

struct state_applied {
    codec::snapshot_pointer state;
};

/// The apply duty could not accept or apply the records.
struct apply_failed {};

struct version_observed {
    std::string host;
    common::revision version;
};

/// The membership duty found that other daemons had declared this one dead.
struct contact_lost {};

using spreading_message =
    std::variant<log_records_read, log_end_reached, log_unreachable, platform_snapshot_read,
                 platform_snapshot_missing, snapshot_stored, snapshot_store_failed, push_from_peer,
                 pull_from_peer, pull_replied, pull_failed, state_applied, apply_failed, version_observed,
                 contact_lost, spreading::peer_view>;

/// Requests the newest state of the snapshot stream.
struct read_snapshot {};

/// Requests that the state is appended to the snapshot stream.
struct store_snapshot {
    codec::snapshot_pointer state;
};

using log_reader_message = std::variant<spreading::log_reading_changed, read_snapshot, store_snapshot>;

using apply_message = std::variant<spreading::apply_records, spreading::apply_snapshot>;

} // namespace boragehollow::daemon
