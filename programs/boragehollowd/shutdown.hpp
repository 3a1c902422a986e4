#pragma once

#include "pipeline_components.hpp"

namespace boragehollow::daemon {

/// Refuses new work, leaves the mesh, and waits until the last call has ended or the drain limit is reached.
void drain_daemon(pipeline::components& daemon);

} // namespace boragehollow::daemon
