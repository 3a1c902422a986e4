#include "boragehollow/admission/repeat_limit.hpp"

namespace boragehollow::admission {

namespace {

/// Retries that a target takes in each window whatever its calls, so that a target with few calls takes some.
constexpr double min_retries = 1.0;

} // namespace

bool repeat_limit::allows_retry(steady_time now) {
    const totals all = m_window.total(now);
    const double retries = all.retries + 1.0;
    if (retries <= min_retries) {
        return true;
    }
    return retries <= m_ratios.max_retries * all.first &&
           retries + all.inherited <= m_ratios.max_repeated_work * all.first;
}

void repeat_limit::record_first(double inherited, steady_time now) {
    totals& newest = m_window.current(now);
    newest.first += 1.0;
    newest.inherited += inherited;
}

void repeat_limit::record_retry(steady_time now) {
    m_window.current(now).retries += 1.0;
}

} // namespace boragehollow::admission
