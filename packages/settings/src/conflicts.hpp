#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <string>
#include <vector>

namespace boragehollow::settings {

struct conflict {
    std::vector<std::string> keys; ///< Keys involved. The error is reported at the first one, on the line of
                                   ///< the first that the file sets.
    std::string message;
};

/// Finds entries that are valid individually but not in combination.
std::vector<conflict> find_conflicts(const daemon_settings& settings);

} // namespace boragehollow::settings
