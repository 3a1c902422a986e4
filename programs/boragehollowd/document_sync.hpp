#pragma once

#include "document_pipeline_components.hpp"

#include <string>

namespace boragehollow::daemon {

/// Path of the control requests that synchronize member tables.
inline const std::string sync_path = "sync";

/// The membership duty gets the reply.
void send_sync_request(document_pipeline::components& daemon, const std::string& host,
                       const common::endpoint& peer, const membership::sync_request& request);

/// Gives this daemon's entry to another daemon, which keeps its withdrawn instances for a restart of this
/// one. The attempt succeeds when the other daemon holds them.
void replicate_entry(document_pipeline::components& daemon, const membership::member& keeper,
                     const membership::sync_request& entry,
                     const common::save_progress::attempt_ref& attempt);

} // namespace boragehollow::daemon
