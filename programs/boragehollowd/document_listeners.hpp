#pragma once

#include "document_pipeline_components.hpp"

#include <tl/expected.hpp>

#include <string>

namespace boragehollow::daemon {

/// Opens the HTTP listeners for readiness checks, target announcements and operators.
tl::expected<void, std::string> open_http_listeners(document_pipeline::components& daemon);

} // namespace boragehollow::daemon
