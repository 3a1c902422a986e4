#include "conflicts.hpp"

#include "boragehollow/common/duration_text.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace boragehollow::settings {

namespace {

using namespace std::chrono_literals;

/// Guaranteed bound: a target that stops announcing itself receives no new work after this time.
constexpr milliseconds max_target_silence = 3s;

/// Leaves time to notice the silence within that bound.
constexpr milliseconds max_timely_heartbeat = 2s;

bool is_wildcard(const endpoint& value) {
    return value.address == "0.0.0.0" || value.address == "::";
}

bool is_loopback(const endpoint& value) {
    return value.address.starts_with("127.") || value.address == "::1";
}

bool addresses_overlap(const endpoint& a, const endpoint& b) {
    if (a.port == 0 || a.port != b.port) {
        return false;
    }
    return a.address == b.address || is_wildcard(a) || is_wildcard(b);
}

void check_listeners(const daemon_settings& settings, std::vector<conflict>& found) {
    const listener_settings& listeners = settings.listeners;
    const std::array<std::pair<std::string_view, const endpoint*>, 4> tcp{{
        {"listeners.callers", &listeners.callers},
        {"listeners.operators", &listeners.operators},
        {"listeners.peer", &listeners.peer},
        {"listeners.target", &listeners.target},
    }};
    for (std::size_t later = 1; later < tcp.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            if (!addresses_overlap(*tcp.at(earlier).second, *tcp.at(later).second)) {
                continue;
            }
            found.push_back({{std::string(tcp.at(later).first), std::string(tcp.at(earlier).first)},
                             "uses the same address and port as " + std::string(tcp.at(earlier).first)});
        }
    }
    for (const auto& [key, value] :
         {std::pair{"listeners.peer", &listeners.peer}, std::pair{"listeners.gossip", &listeners.gossip}}) {
        if (is_wildcard(*value)) {
            found.push_back({{key}, "cannot be a wildcard, since other hosts connect to this address"});
        }
    }
    if (settings.testing.allow_fault_injection && !is_loopback(listeners.operators)) {
        found.push_back({{"testing.allow_fault_injection", "listeners.operators"},
                         "needs listeners.operators on a loopback address, so that other hosts cannot inject "
                         "faults"});
    }
}

void check_destinations(const daemon_settings& settings, std::vector<conflict>& found) {
    for (const endpoint& seed : settings.gossip.seeds) {
        if (seed.port == 0 || is_wildcard(seed)) {
            found.push_back({{"gossip.seeds"}, "'" + to_string(seed) + "' is not an address to send to"});
        }
    }
    const auto& log = settings.platform.log;
    if (log && (log->port == 0 || is_wildcard(*log))) {
        found.push_back({{"platform.log"}, "'" + to_string(*log) + "' is not an address to connect to"});
    }
}

void check_heartbeats(const timing_settings& timing, std::vector<conflict>& found) {
    if (timing.heartbeat > max_timely_heartbeat) {
        found.push_back(
            {{"timing.heartbeat"}, "must not exceed " + common::format_duration(max_timely_heartbeat)});
        return;
    }
    if (timing.heartbeat * timing.missed_heartbeats >= max_target_silence) {
        found.push_back({{"timing.missed_heartbeats", "timing.heartbeat"},
                         "times timing.heartbeat must be less than 3s, after which a silent target "
                         "receives no new work"});
    }
}

void check_timing(const daemon_settings& settings, std::vector<conflict>& found) {
    const timing_settings& timing = settings.timing;
    if (timing.swim_ack_timeout >= timing.swim_period) {
        found.push_back({{"timing.swim_ack_timeout", "timing.swim_period"},
                         "must be shorter than timing.swim_period (" +
                             common::format_duration(timing.swim_period) + ")"});
    }
    if (timing.suspicion < timing.swim_period) {
        found.push_back({{"timing.suspicion", "timing.swim_period"},
                         "must be at least timing.swim_period (" +
                             common::format_duration(timing.swim_period) +
                             "), or a suspected member cannot refute the suspicion in time"});
    }
    // In document mode the platform's targets may announce themselves seconds late, and a refused connection
    // marks a target as departed instead.
    if (settings.platform.configuration == configuration_source::changes) {
        check_heartbeats(timing, found);
    }
    if (settings.platform.min_backoff > settings.platform.max_backoff) {
        found.push_back({{"platform.min_backoff", "platform.max_backoff"},
                         "must not exceed platform.max_backoff (" +
                             common::format_duration(settings.platform.max_backoff) + ")"});
    }
}

} // namespace

std::vector<conflict> find_conflicts(const daemon_settings& settings) {
    std::vector<conflict> found;
    check_listeners(settings, found);
    check_destinations(settings, found);
    check_timing(settings, found);
    return found;
}

} // namespace boragehollow::settings
