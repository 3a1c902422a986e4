#pragma once

#include "boragehollow/forwarding/forwarder.hpp"
#include "boragehollow/settings/daemon_settings.hpp"

#include <cstddef>

namespace boragehollow::daemon {

/// Descriptors that the operating system allows this process.
std::size_t process_descriptor_limit();

resources::memory_budget_settings memory_budget_of(const settings::limit_settings& limits);

/// Divides the descriptors that the process may open among callers, other daemons and the reserve.
forwarding::connection_settings connection_settings_of(const settings::limit_settings& limits,
                                                       std::size_t process_descriptors);

} // namespace boragehollow::daemon
