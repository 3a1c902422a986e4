#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>
#include <string>
#include <unordered_map>

namespace boragehollow::balancing {

/// Estimates how long a caller had been waiting when it sent a request. Callers state their remaining
/// timeout; a retry after a refusal states less than the longest recent timeout on its route.
class caller_wait_estimator {
public:
    /// `remaining` is the timeout stated by the caller. The result is 0 for a first request.
    std::chrono::milliseconds estimate_wait(const std::string& route, std::chrono::milliseconds remaining,
                                            common::steady_time now);

private:
    struct timeout_history {
        std::chrono::milliseconds max_timeout{0};
        std::chrono::milliseconds previous_max_timeout{0}; ///< Maximum of the previous period.
        common::steady_time period_start;
    };

    std::unordered_map<std::string, timeout_history> m_routes;
};

} // namespace boragehollow::balancing
