#include "boragehollow/balancing/target_record.hpp"

#include <algorithm>
#include <cmath>

namespace boragehollow::balancing {

namespace {

// Load changes within seconds, so an older report is meaningless.
constexpr std::chrono::duration<double> report_lifetime{3.0};
// A refusal indicates a full queue; queues of short calls drain within a fraction of a second.
constexpr std::chrono::duration<double> refusal_decay{0.3};
constexpr double max_refusals = 8.0;

double per_slot(double calls, std::uint32_t slots) {
    return calls / std::max(1U, slots);
}

} // namespace

void target_record::update(const target_view& newer) {
    const bool restarted = newer.first_seen > view.first_seen;
    // Piggybacked load is often newer than announced load.
    std::optional<load_report> newest = view.load;
    if (newer.load && (!newest || newer.load->received > newest->received)) {
        newest = newer.load;
    }
    view = newer;
    if (!restarted) {
        view.load = newest;
        return;
    }
    peak = peak_ewma_estimate();
    smoothed.reset();
    health = target_health();
    recent_refusals = 0;
    service_time = {};
    sent_since_report = 0;
}

void target_record::record_refusal(steady_time now) {
    recent_refusals =
        std::min(max_refusals, recent_refusals * std::exp(-((now - last_refusal) / refusal_decay)) + 1.0);
    last_refusal = now;
}

void target_record::record_load(const piggybacked_load& load, steady_time now) {
    view.load = load_report{load.in_use, load.queued, now};
    if (load.slots > 0) {
        view.slots = load.slots;
    }
    if (load.service_time.count() > 0) {
        service_time = load.service_time;
    }
    sent_since_report = 0;
}

double target_record::estimated_calls(double mean_use, milliseconds decay, steady_time now) const {
    const double typical = mean_use * std::max(1U, view.slots);
    if (!view.load) {
        return std::max<double>(typical, outstanding);
    }
    const std::chrono::duration<double> age = now - view.load->received;
    const double weight = std::exp(-(age / std::chrono::duration<double>(decay)));
    const double reported = static_cast<double>(view.load->in_use) + view.load->queued;
    return std::max<double>(typical + weight * (reported + sent_since_report - typical), outstanding);
}

double target_record::report_weight(steady_time now) const {
    if (!view.load) {
        return 0;
    }
    const std::chrono::duration<double> age = now - view.load->received;
    return std::clamp(1.0 - age / report_lifetime, 0.0, 1.0);
}

double target_record::estimated_slots_in_use(steady_time now) const {
    const double weight = report_weight(now);
    const double own = outstanding;
    if (weight == 0) {
        return own;
    }
    const double reported = static_cast<double>(view.load->in_use) + view.load->queued;
    return std::max(own, reported * weight);
}

double target_record::cost_factor(steady_time now) const {
    double factor = 1.0 + health.consecutive_failures();
    const double weight = report_weight(now);
    if (weight > 0) {
        // The factor is at most 3, so that a false report cannot outweigh local measurements.
        const double busy = std::min(1.0, per_slot(view.load->in_use, view.slots));
        const double waiting = std::min(1.0, per_slot(view.load->queued, view.slots));
        factor *= 1.0 + weight * (busy + waiting);
    }
    return factor * refusal_factor(now);
}

double target_record::refusal_factor(steady_time now) const {
    if (recent_refusals == 0) {
        return 1.0;
    }
    return 1.0 + recent_refusals * std::exp(-((now - last_refusal) / refusal_decay));
}

} // namespace boragehollow::balancing
