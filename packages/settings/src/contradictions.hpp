#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <string>
#include <vector>

namespace boragehollow::settings {

struct contradiction {
    std::vector<std::string> keys; ///< The keys involved; the fault names the line of the first one.
    std::string message;
};

/// Entries that are valid on their own but not together.
std::vector<contradiction> find_contradictions(const daemon_settings& settings);

} // namespace boragehollow::settings
