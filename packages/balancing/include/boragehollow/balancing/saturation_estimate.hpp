#pragma once

#include "boragehollow/common/time.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::balancing {

using common::steady_time;

/// Tells from recent refusals whether the targets of a service have no room for calls of a route. While they
/// have none, offering a refused call to further targets costs each of them processor time and lets the
/// caller wait for the same refusal.
class saturation_estimate {
public:
    /// Records an offer (`refused` is false) when it is sent, and its refusal when that arrives. A call that
    /// the target takes is thus not missing until its response arrives, long after the refusals of the
    /// others.
    void record(std::string_view host, bool refused, steady_time now);

    /// True when most targets that were tried just now have refused.
    bool saturated(steady_time now) const;

private:
    struct latest_offer {
        std::string host;
        steady_time time;
        bool refused = false;
    };

    std::vector<latest_offer> m_offers; ///< One of each target, in the order of their times.
};

/// Saturation of the routes that this daemon's callers use. A service may be full for calls that need a
/// response within their target latency, and still have room for those that accept a later one.
class route_saturation {
public:
    /// `late` tells whether the call would have taken a late response.
    void record(const std::string& route, std::string_view host, bool late, bool refused, steady_time now);

    /// No target can respond within the target latency.
    bool timely_saturated(const std::string& route, steady_time now) const;

    /// No target has room, for calls that accept a late response either.
    bool saturated(const std::string& route, steady_time now) const;

private:
    struct estimates {
        saturation_estimate timely;
        saturation_estimate late;
    };

    static constexpr std::size_t max_routes = 256;

    std::map<std::string, estimates> m_routes;
};

} // namespace boragehollow::balancing
