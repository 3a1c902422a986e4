#include "timeline_text.hpp"

#include <array>
#include <chrono>
#include <cstdio>

namespace boragehollow::scenario {

std::string render_timeline(const std::vector<telemetry::timeline_event>& events) {
    std::string text;
    for (const telemetry::timeline_event& event : events) {
        const auto offset =
            std::chrono::duration_cast<std::chrono::microseconds>(event.at.wall - events.front().at.wall);
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "+%.6f", std::chrono::duration<double>(offset).count());
        const std::string code = telemetry::event_code(event.number);
        text += time.data();
        for (const std::string& part : {event.host, event.level, code, event.text}) {
            text.append(" ").append(part);
        }
        for (const auto& [name, value] : event.fields) {
            text.append(" ").append(name).append("=").append(value);
        }
        text += "\n";
    }
    return text;
}

} // namespace boragehollow::scenario
