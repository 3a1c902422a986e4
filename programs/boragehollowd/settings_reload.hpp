#pragma once

#include "boragehollow/settings/daemon_settings.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <span>
#include <string_view>

namespace boragehollow::daemon {

/// The settings of a daemon before and after its settings file was read again.
struct settings_reload {
    const settings::daemon_settings& started; ///< What the daemon was started with.
    const settings::daemon_settings& running; ///< As in force before.
    const settings::daemon_settings& next;
};

void set_log_level(settings::log_level level);

/// Reports which entries took effect, which are the `live` ones that changed, and which take effect at the
/// next start.
void report_reload(const settings_reload& reload, std::span<const std::string_view> live,
                   const telemetry::event_log& events);

} // namespace boragehollow::daemon
