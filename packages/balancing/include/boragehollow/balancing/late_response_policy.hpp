#pragma once

#include <cstdint>

namespace boragehollow::balancing {

/// Decides whether a call still requires a response within the target latency of its route, or accepts a
/// later one.
class late_response_policy {
public:
    bool accepts_late() const { return m_accepts_late; }

    /// Call this when no target can respond in time for now: the call accepts a late response at once.
    void accept_late();

    /// Records that a target's daemon refused the call.
    void record_refusal();

    /// Call this when every target has refused. True when the call may be offered to all of them again, now
    /// accepting a late response.
    bool allow_late_response();

private:
    std::uint32_t m_refusals = 0;
    bool m_accepts_late = false;
};

} // namespace boragehollow::balancing
