#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <string_view>
#include <vector>

namespace boragehollow::settings {

/// Keys of the entries whose values differ, in the order of the reference.
std::vector<std::string_view> changed_keys(const daemon_settings& before, const daemon_settings& after);

} // namespace boragehollow::settings
