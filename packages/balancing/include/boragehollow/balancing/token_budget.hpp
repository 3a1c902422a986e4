#pragma once

#include "boragehollow/balancing/target_view.hpp"

namespace boragehollow::balancing {

/// Budget of extra attempts (retries or hedges): a ratio of recent calls plus a minimum per second. It keeps
/// retries from multiplying the load of a service that already fails.
class token_budget {
public:
    void set_policy(double ratio, double min_per_second);

    /// A first attempt adds `ratio` of a token. Tokens that are not used fade within about 10 s.
    void add_call(steady_time now);

    /// Takes one token; false when there is none.
    bool try_take(steady_time now);

private:
    void refresh(steady_time now);

    double m_ratio = 0;
    double m_min_per_second = 0;
    double m_call_tokens = 0;
    double m_time_tokens = 0;
    bool m_started = false;
    steady_time m_refreshed;
};

} // namespace boragehollow::balancing
