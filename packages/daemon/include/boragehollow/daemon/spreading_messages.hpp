#pragma once

#include "boragehollow/codec/state_codec.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/spreading/spreading_engine.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between the duties that bring configuration records to this daemon and to its peers.
namespace boragehollow::daemon {

struct log_records_read {
    std::vector<spreading::log_record> records;
};

struct log_head_read {
    spreading::log_extent extent;
};

struct log_not_reached {};

struct platform_snapshot_read {
    spreading::encoded_snapshot snapshot;
};

struct platform_snapshot_missing {};

struct snapshot_stored {
    common::revision version;
};

struct snapshot_not_stored {};

struct push_from_peer {
    std::string from;
    std::vector<spreading::log_record> records;
};

/// The reply stays unset when the duty is too busy.
struct pull_from_peer {
    spreading::pull_request request;
    common::reply_slot<spreading::pull_answer> reply;
};

struct pull_answered {
    std::uint64_t id = 0;
    std::string peer;
    spreading::pull_answer answer;
};

struct pull_failed {
    std::uint64_t id = 0;
};

struct state_applied {
    codec::snapshot_pointer state;
};

/// The apply duty did not take what it was given.
struct handover_refused {};

struct version_heard {
    std::string host;
    common::revision version;
};

/// Membership found that this daemon had been declared dead.
struct contact_lost {};

using spreading_message =
    std::variant<log_records_read, log_head_read, log_not_reached, platform_snapshot_read,
                 platform_snapshot_missing, snapshot_stored, snapshot_not_stored, push_from_peer,
                 pull_from_peer, pull_answered, pull_failed, state_applied, handover_refused, version_heard,
                 contact_lost, spreading::peer_view>;

/// Reads the newest state of the snapshot stream.
struct read_snapshot {};

/// Appends the state to the snapshot stream.
struct store_snapshot {
    codec::snapshot_pointer state;
};

using log_reader_message = std::variant<spreading::log_reading_changed, read_snapshot, store_snapshot>;

using apply_message = std::variant<spreading::apply_records, spreading::apply_snapshot>;

} // namespace boragehollow::daemon
