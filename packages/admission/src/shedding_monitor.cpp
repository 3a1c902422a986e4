#include "boragehollow/admission/shedding_monitor.hpp"

namespace boragehollow::admission {

namespace {

/// Weight of the newest call in the moving average: ten calls show a change.
constexpr double newest_call_weight = 0.1;

/// Below this share, the detour by another target costs more than the retries.
constexpr double min_diverting_share = 0.15;

/// One call in this many is admitted as a trial.
constexpr std::uint32_t calls_per_trial = 6;

} // namespace

void shedding_monitor::record(bool shed) {
    m_shed_share += ((shed ? 1.0 : 0.0) - m_shed_share) * newest_call_weight;
}

bool shedding_monitor::sheds() const {
    return m_shed_share >= min_diverting_share;
}

bool shedding_monitor::diverts_next_call() {
    if (!sheds()) {
        return false;
    }
    m_diverted = (m_diverted + 1) % calls_per_trial;
    return m_diverted != 0;
}

} // namespace boragehollow::admission
