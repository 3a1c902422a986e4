#pragma once

#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <string>
#include <vector>

namespace boragehollow::scenario {

/// Formats one line per event: time since the first event, host, level, event code, message and fields.
std::string render_timeline(const std::vector<telemetry::timeline_event>& events);

} // namespace boragehollow::scenario
