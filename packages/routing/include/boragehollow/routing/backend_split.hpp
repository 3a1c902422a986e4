#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/config/resource.hpp"

#include <string>

namespace boragehollow::routing {

/// Service that one call of the route goes to: by weight among the parts of a split, else the route's own.
const std::string& choose_backend(const config::route& route, common::random_source& random);

} // namespace boragehollow::routing
