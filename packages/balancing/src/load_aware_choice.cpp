#include "boragehollow/balancing/load_aware_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragehollow::balancing {

namespace {

/// Targets that are drawn for a choice in the caller's failure domain, and in all others together.
constexpr std::size_t choices_per_domain = 3;

/// Older reports say less than the mean use of the service.
constexpr std::chrono::milliseconds max_report_age{1'000};

/// Draws until a target is taken in proportion to its capacity. The fastest targets are taken at once.
constexpr int max_draws = 8;
constexpr double fastest_ratio = 2.5;

/// Time in which the mean use follows a change of the load.
constexpr std::chrono::duration<double> use_decay{0.3};
/// Replies that arrive together count together.
constexpr double min_report_weight = 0.05;
constexpr double newest_service_weight = 0.02;

/// A target that fails at once looks fast, and one slow call makes a target look slow.
constexpr double min_service_ratio = 1.0 / 3.0;
constexpr double max_service_ratio = 4.0;

/// A report is used up by one choice: the calls that follow it would all go to the same target.
bool has_unused_report(const target_record& target, steady_time now) {
    return target.view.load && target.sent_since_report == 0 &&
           now - target.view.load->received <= max_report_age;
}

} // namespace

void load_aware_choice::record(const piggybacked_load& load, steady_time now) {
    if (load.slots == 0) {
        return;
    }
    const double use = (static_cast<double>(load.in_use) + load.queued) / load.slots;
    const double weight = 1.0 - std::exp(-((now - m_updated) / use_decay));
    m_mean_use += (use - m_mean_use) * std::max(weight, min_report_weight);
    m_updated = now;
    if (load.service_time.count() == 0) {
        return;
    }
    const fractional_microseconds service(load.service_time);
    const double service_weight = m_typical_service.count() == 0 ? 1.0 : newest_service_weight;
    m_typical_service += (service - m_typical_service) * service_weight;
}

fractional_microseconds load_aware_choice::typical_service() const {
    return std::max(fractional_microseconds(1), m_typical_service);
}

/// Speed of the target as a ratio of the typical one.
double load_aware_choice::speed(const target_record& target) const {
    if (target.service_time.count() == 0) {
        return 1.0;
    }
    return 1.0 / std::clamp(target.service_time / typical_service(), min_service_ratio, max_service_ratio);
}

std::size_t load_aware_choice::draw_by_speed(std::span<const std::uint32_t> candidates,
                                             const std::vector<target_record>& targets,
                                             common::random_source& random) const {
    std::size_t drawn = random.index(candidates.size());
    for (int i = 1; i < max_draws; ++i) {
        if (random.fraction() * fastest_ratio < speed(targets[candidates[drawn]])) {
            return drawn;
        }
        drawn = random.index(candidates.size());
    }
    return drawn;
}

fractional_microseconds load_aware_choice::expected_time(const target_record& target,
                                                         const config::load_aware& policy,
                                                         steady_time now) const {
    const double use =
        (target.estimated_calls(m_mean_use, policy.decay, now) + 1.0) / std::max(1U, target.view.slots);
    // The calls that this daemon waits for are the newest sign of a target that is slow just now. A slow
    // target refuses calls while its queue is still shorter than the queues of others.
    return typical_service() * use * target.refusal_factor(now) * (target.outstanding + 1.0) *
           (1.0 + target.health.consecutive_failures());
}

std::uint32_t load_aware_choice::choose(std::span<const std::uint32_t> pool,
                                        const std::vector<target_record>& targets,
                                        const config::load_aware& policy, microseconds hop,
                                        common::random_source& random, steady_time now) {
    m_local.clear();
    m_remote.clear();
    std::uint32_t best = pool.front();
    fractional_microseconds best_time(std::numeric_limits<double>::infinity());
    const auto consider = [&](std::uint32_t index) {
        const target_record& target = targets[index];
        const fractional_microseconds distance(target.local ? microseconds(0) : hop);
        const fractional_microseconds time = expected_time(target, policy, now) + distance;
        if (time < best_time) {
            best = index;
            best_time = time;
        }
    };
    for (const std::uint32_t index : pool) {
        (targets[index].local ? m_local : m_remote).push_back(index);
        if (has_unused_report(targets[index], now)) {
            consider(index);
        }
    }
    for (std::vector<std::uint32_t>* candidates : {&m_local, &m_remote}) {
        const std::size_t count = std::min(choices_per_domain, candidates->size());
        for (std::size_t i = 0; i < count; ++i) {
            const std::span<std::uint32_t> rest = std::span(*candidates).subspan(i);
            std::swap(rest.front(), rest[draw_by_speed(rest, targets, random)]);
            consider(rest.front());
        }
    }
    return best;
}

} // namespace boragehollow::balancing
