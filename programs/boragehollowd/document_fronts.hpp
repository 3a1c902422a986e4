#pragma once

#include "document_parts.hpp"

#include <tl/expected.hpp>

#include <string>

namespace boragehollow::daemon {

/// Opens the listeners for readiness, the target's announcements, and operators.
tl::expected<void, std::string> open_http_sources(document_pipeline::parts& all);

} // namespace boragehollow::daemon
