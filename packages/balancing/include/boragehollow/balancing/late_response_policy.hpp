#pragma once

#include <cstdint>

namespace boragehollow::balancing {

/// Whether a call still looks for a target that can answer within the target latency of its route, or accepts
/// a later answer.
class late_response_policy {
public:
    bool accepts_late() const { return m_accepts_late; }

    /// A target's daemon could not answer on the present terms.
    void record_refusal();

    /// No target is left to ask on the present terms. True when the call may ask all of them again, for a
    /// late answer.
    bool allow_late_response();

private:
    std::uint32_t m_refusals = 0;
    bool m_accepts_late = false;
};

} // namespace boragehollow::balancing
