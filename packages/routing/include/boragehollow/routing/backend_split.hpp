#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/config/resource.hpp"

#include <string>

namespace boragehollow::routing {

/// Service for one call of the route: a weighted random choice among its backends, or the route's own service
/// if it has none.
const std::string& choose_backend(const config::route& route, common::random_source& random);

} // namespace boragehollow::routing
