#pragma once

#include "parts.hpp"

namespace boragehollow::daemon {

/// Refuses new work, tells the mesh, and waits until the last call has ended or the drain limit is reached.
void drain_parts(pipeline::parts& all);

} // namespace boragehollow::daemon
