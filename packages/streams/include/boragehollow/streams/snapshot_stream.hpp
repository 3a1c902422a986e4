#pragma once

#include "boragehollow/codec/state_codec.hpp"
#include "boragehollow/streams/log_client.hpp"

namespace boragehollow::streams {

/// Searches the stream backwards for the newest complete state. Null if there is none.
tl::expected<codec::snapshot_pointer, log_error>
read_newest_snapshot(const log_client& client, const std::string& stream, milliseconds timeout);

/// Appends a state in chunks. On an error an incomplete state remains in the stream, which readers skip.
tl::expected<void, log_error> append_snapshot(const log_client& client, const std::string& stream,
                                              const config::config_snapshot& state, milliseconds timeout);

} // namespace boragehollow::streams
