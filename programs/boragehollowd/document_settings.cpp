#include "document_settings.hpp"

#include "document_pipeline_components.hpp"
#include "settings_reload.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

/// Announcements may arrive seconds late, however often a target sends them.
constexpr std::chrono::milliseconds min_silence_timeout{6'000};

/// Entries that a reload puts into force.
constexpr std::array<std::string_view, 2> live_keys{"timing.heartbeat", "logging.level"};

} // namespace

std::chrono::milliseconds silence_timeout_of(const settings::timing_settings& timing) {
    return std::max(min_silence_timeout, timing.heartbeat * timing.missed_heartbeats);
}

settings_with_terms apply_platform_terms(settings::daemon_settings settings) {
    settings_with_terms result{std::move(settings), {}, {}};
    auto replaced = platform::apply_terms(result.settings);
    if (replaced) {
        result.replaced = std::move(*replaced);
    } else {
        result.error = std::move(replaced.error());
    }
    return result;
}

void report_terms(const settings_with_terms& applied, const telemetry::event_log& events) {
    if (applied.error) {
        events.emit(event_number::settings_terms_unreadable, {{"detail", *applied.error}});
    }
    for (const platform::replaced_value& each : applied.replaced) {
        events.emit(event_number::settings_term_replaced,
                    {{"name", each.name}, {"stated", each.stated}, {"used", each.used}});
    }
}

void document_pipeline::reload(const settings::daemon_settings& settings) {
    components& daemon = *m_components;
    settings_with_terms applied = apply_platform_terms(settings);
    report_terms(applied, daemon.events);
    if (applied.error) {
        // The file holds a part of what this daemon was started with.
        return;
    }
    set_log_level(applied.settings.logging.level);
    daemon.instance->ring().push_until(silence_timeout_changed{silence_timeout_of(applied.settings.timing)},
                                       deadline_after(control_timeout));
    report_reload({daemon.settings, daemon.running_settings, applied.settings}, live_keys, daemon.events);
    daemon.running_settings = std::move(applied.settings);
}

} // namespace boragehollow::daemon
