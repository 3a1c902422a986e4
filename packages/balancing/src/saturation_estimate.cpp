#include "boragehollow/balancing/saturation_estimate.hpp"

#include <algorithm>

namespace boragehollow::balancing {

namespace {

/// Queues of short calls change within this time.
constexpr std::chrono::milliseconds max_offer_age{500};

/// A call that finds every target busy has asked this many.
constexpr std::size_t min_refusing_targets = 4;

/// From this share on, one more offer of a refused call is more likely to fail than to succeed.
constexpr double min_refusing_share = 0.5;

} // namespace

void saturation_estimate::record(std::string_view host, bool refused, steady_time now) {
    std::erase_if(m_offers, [&](const latest_offer& offer) {
        return offer.host == host || now - offer.time > max_offer_age;
    });
    m_offers.push_back({std::string(host), now, refused});
}

bool saturation_estimate::saturated(steady_time now) const {
    std::size_t recent = 0;
    std::size_t refusing = 0;
    for (const latest_offer& offer : m_offers) {
        if (now - offer.time > max_offer_age) {
            continue;
        }
        ++recent;
        refusing += offer.refused ? 1 : 0;
    }
    return refusing >= min_refusing_targets &&
           static_cast<double>(refusing) >= min_refusing_share * static_cast<double>(recent);
}

void route_saturation::record(const std::string& route, std::string_view host, bool late, bool refused,
                              steady_time now) {
    // Estimates live for half a second, so little is lost with those of routes that may be gone.
    if (m_routes.size() >= max_routes && !m_routes.contains(route)) {
        m_routes.clear();
    }
    estimates& own = m_routes[route];
    (late ? own.late : own.timely).record(host, refused, now);
}

bool route_saturation::timely_saturated(const std::string& route, steady_time now) const {
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.timely.saturated(now);
}

bool route_saturation::saturated(const std::string& route, steady_time now) const {
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.late.saturated(now);
}

} // namespace boragehollow::balancing
