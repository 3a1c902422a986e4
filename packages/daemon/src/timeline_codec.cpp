#include "boragehollow/daemon/timeline_codec.hpp"

#include <peer.pb.h>

namespace boragehollow::daemon {

void write_timeline(const telemetry::timeline_page& page, peer::v1::TimelineReply& message) {
    message.set_dropped(page.dropped);
    for (const telemetry::timeline_event& event : page.events) {
        peer::v1::TimelineEvent& written = *message.add_events();
        written.set_wall_us(static_cast<std::uint64_t>(event.at.wall.time_since_epoch().count()));
        written.set_counter(event.at.counter);
        written.set_host(event.host);
        written.set_number(event.number);
        written.set_level(event.level);
        written.set_channel(event.channel);
        written.set_text(event.text);
        for (const auto& [name, value] : event.fields) {
            (*written.mutable_fields())[name] = value;
        }
    }
}

telemetry::timeline_page read_timeline(const peer::v1::TimelineReply& message) {
    telemetry::timeline_page page;
    page.dropped = message.dropped();
    for (const peer::v1::TimelineEvent& read : message.events()) {
        telemetry::timeline_event event;
        event.at = {common::wall_time(std::chrono::microseconds(read.wall_us())), read.counter()};
        event.host = read.host();
        event.number = static_cast<std::uint16_t>(read.number());
        event.level = read.level();
        event.channel = read.channel();
        event.text = read.text();
        for (const auto& [name, value] : read.fields()) {
            event.fields[name] = value;
        }
        page.events.push_back(std::move(event));
    }
    return page;
}

} // namespace boragehollow::daemon
