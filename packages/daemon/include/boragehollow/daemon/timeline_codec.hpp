#pragma once

#include "boragehollow/telemetry/timeline_buffer.hpp"

namespace boragehollow::peer::v1 {
class TimelineReply;
}

namespace boragehollow::daemon {

void write_timeline(const telemetry::timeline_page& page, peer::v1::TimelineReply& message);
telemetry::timeline_page read_timeline(const peer::v1::TimelineReply& message);

} // namespace boragehollow::daemon
