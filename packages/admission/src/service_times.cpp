#include "boragehollow/admission/service_times.hpp"

namespace boragehollow::admission {

namespace {

// Weight of the newest sample in the exponential moving average of the service time.
constexpr double newest_sample_weight = 0.1;

void update_mean(common::fractional_microseconds& mean, microseconds sample) {
    const common::fractional_microseconds value(sample);
    mean = mean.count() == 0 ? value : mean + (value - mean) * newest_sample_weight;
}

} // namespace

call_kind kind_of(const admission_request& request) {
    return {rank_of(request), request.idempotent};
}

void service_times::add(const call_kind& kind, config::work_class work, microseconds sample) {
    if (work == config::work_class::long_work) {
        update_mean(m_long_mean, sample);
        return;
    }
    update_mean(m_short_mean, sample);
    if (m_kinds.contains(kind) || m_kinds.size() < max_kinds) {
        update_mean(m_kinds[kind], sample);
    }
}

microseconds service_times::mean(config::work_class work) const {
    return std::chrono::duration_cast<microseconds>(work == config::work_class::long_work ? m_long_mean
                                                                                          : m_short_mean);
}

microseconds service_times::mean_of_kind(const admission_request& request) const {
    const auto found = m_kinds.find(kind_of(request));
    if (request.work == config::work_class::long_work || found == m_kinds.end()) {
        return mean(request.work);
    }
    return std::chrono::duration_cast<microseconds>(found->second);
}

} // namespace boragehollow::admission
