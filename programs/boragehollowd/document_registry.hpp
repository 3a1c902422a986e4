#pragma once

#include "document_pipeline_components.hpp"

#include "boragehollow/platform/store_client.hpp"

namespace boragehollow::daemon {

/// Records an epoch of the platform log that this daemon read or that another one reported; true if it is a
/// later one. A rise means that the log was restored from an earlier copy.
bool record_log_epoch(document_pipeline::components& daemon, std::uint64_t epoch);

/// The client tells the daemon of each restore of the store, and gossip tells the other daemons.
platform::store_client make_store_client(document_pipeline::components& daemon);

/// store -> registry -> membership and instance
void start_registry_duty(document_pipeline::components& daemon);

} // namespace boragehollow::daemon
