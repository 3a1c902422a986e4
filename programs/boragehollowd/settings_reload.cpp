#include "settings_reload.hpp"

#include "boragehollow/settings/compare.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace boragehollow::daemon {

namespace {

/// The platform's terms hold fields that concern nobody here; what follows from them are entries of their
/// own.
constexpr std::string_view terms_key = "platform.terms";

std::string joined(const std::vector<std::string_view>& keys) {
    std::string text;
    for (const std::string_view key : keys) {
        text += (text.empty() ? "" : ",") + std::string(key);
    }
    return text;
}

} // namespace

void set_log_level(settings::log_level level) {
    telemetry::log_session::set_level(static_cast<telemetry::event_level>(level));
}

void report_reload(const settings_reload& reload, std::span<const std::string_view> live,
                   const telemetry::event_log& events) {
    const auto is_live = [live](std::string_view key) { return std::ranges::find(live, key) != live.end(); };
    std::vector<std::string_view> changed = settings::changed_keys(reload.running, reload.next);
    std::erase_if(changed, [&](std::string_view key) { return !is_live(key); });
    std::vector<std::string_view> ignored = settings::changed_keys(reload.started, reload.next);
    std::erase_if(ignored, [&](std::string_view key) { return is_live(key) || key == terms_key; });
    events.emit(telemetry::event_number::settings_reloaded,
                {{"changed", joined(changed)}, {"ignored", joined(ignored)}});
}

} // namespace boragehollow::daemon
