#pragma once

#include "boragehollow/balancing/target_view.hpp"
#include "boragehollow/membership/target_directory.hpp"

#include <vector>

namespace boragehollow::daemon {

/// Converts the targets of the member table to the balancer's view of them.
std::vector<balancing::target_view> target_views(const membership::target_list& targets);

} // namespace boragehollow::daemon
