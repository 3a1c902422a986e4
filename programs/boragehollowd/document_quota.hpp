#pragma once

#include "document_pipeline_components.hpp"

namespace boragehollow::daemon {

/// Sends the daemons that may own the limits of accounts to the forwarder, if they have changed.
void update_quota_members(document_pipeline::components& daemon, const mesh_view& mesh);

} // namespace boragehollow::daemon
