#pragma once

#include "boragehollow/platform/terms.hpp"
#include "boragehollow/settings/daemon_settings.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::daemon {

/// Settings of a daemon whose configuration comes as documents, with the platform's terms in force.
struct settings_with_terms {
    settings::daemon_settings settings;
    std::vector<platform::replaced_value> replaced;
    std::optional<std::string> error; ///< The terms cannot be read.
};

settings_with_terms apply_platform_terms(settings::daemon_settings settings);
void report_terms(const settings_with_terms& applied, const telemetry::event_log& events);

/// Time without an announcement after which the local target receives no new work.
std::chrono::milliseconds silence_timeout_of(const settings::timing_settings& timing);

} // namespace boragehollow::daemon
