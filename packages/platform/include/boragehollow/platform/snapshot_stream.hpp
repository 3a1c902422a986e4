#pragma once

#include "boragehollow/platform/log_client.hpp"
#include "boragehollow/spreading/messages.hpp"

#include <optional>

namespace boragehollow::platform {

/// Reads the newest complete snapshot, from the end of the stream backwards. Empty when there is none.
tl::expected<std::optional<spreading::encoded_snapshot>, log_error>
read_newest_snapshot(const log_client& client, const std::string& stream, milliseconds timeout);

/// Appends a snapshot in chunks. An error leaves an incomplete snapshot, which readers skip.
tl::expected<void, log_error> append_snapshot(const log_client& client, const std::string& stream,
                                              const spreading::encoded_snapshot& snapshot,
                                              milliseconds timeout);

} // namespace boragehollow::platform
