#include "boragehollow/balancing/late_response_policy.hpp"

#include <utility>

namespace boragehollow::balancing {

namespace {

/// Each refusal costs a round trip; after two of them the whole service is likely saturated.
constexpr std::uint32_t max_timely_refusals = 2;

} // namespace

void late_response_policy::record_refusal() {
    ++m_refusals;
    m_accepts_late = m_accepts_late || m_refusals >= max_timely_refusals;
}

void late_response_policy::accept_late() {
    m_refusals = max_timely_refusals + 1;
    m_accepts_late = true;
}

bool late_response_policy::allow_late_response() {
    // All targets have refused, but possibly before the call accepted a late response.
    const bool already_offered_late = m_accepts_late && m_refusals > max_timely_refusals;
    accept_late();
    return !already_offered_late;
}

} // namespace boragehollow::balancing
