#include "boragehollow/balancing/late_response_policy.hpp"

#include <utility>

namespace boragehollow::balancing {

namespace {

/// Each further refusal costs a round trip, and after two of them the service as a whole is likely full.
constexpr std::uint32_t timely_tries = 2;

} // namespace

void late_response_policy::record_refusal() {
    ++m_refusals;
    m_accepts_late = m_accepts_late || m_refusals >= timely_tries;
}

bool late_response_policy::allow_late_response() {
    // All targets have refused, which does not say that they were asked for a late answer.
    const bool asked_for_late = m_accepts_late && m_refusals > timely_tries;
    m_refusals = timely_tries + 1;
    m_accepts_late = true;
    return !asked_for_late;
}

} // namespace boragehollow::balancing
