#pragma once

#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <string>
#include <vector>

namespace boragehollow::scenario {

/// One line for each event: time after the first event, host, level, number, name and fields.
std::string render_timeline(const std::vector<telemetry::timeline_event>& events);

} // namespace boragehollow::scenario
