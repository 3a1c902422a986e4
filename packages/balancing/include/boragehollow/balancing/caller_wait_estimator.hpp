#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>
#include <string>
#include <unordered_map>

namespace boragehollow::balancing {

/// Estimates how long a caller has waited before this request of its. Callers state how long they will still
/// wait; one that was refused and came back states less than the usual time of its route.
class caller_wait_estimator {
public:
    /// `left` is what the caller states. The result is 0 for a first try.
    std::chrono::milliseconds estimate_wait(const std::string& route, std::chrono::milliseconds left,
                                            common::steady_time now);

private:
    struct usual_time {
        std::chrono::milliseconds longest{0};
        std::chrono::milliseconds longest_before{0}; ///< In the previous period.
        common::steady_time period_began;
    };

    std::unordered_map<std::string, usual_time> m_routes;
};

} // namespace boragehollow::balancing
