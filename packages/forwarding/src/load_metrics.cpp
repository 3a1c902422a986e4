#include "boragehollow/forwarding/load_metrics.hpp"

#include <array>

namespace boragehollow::forwarding {

namespace {

using admission::refusal_reason;

constexpr std::string_view other_reason = "other";

constexpr std::array counted_reasons{refusal_reason::expected_wait, refusal_reason::queue_full,
                                     refusal_reason::queue_timeout, refusal_reason::retry_limit,
                                     refusal_reason::target_sheds,  refusal_reason::draining,
                                     refusal_reason::no_target};

} // namespace

load_metrics::load_metrics(telemetry::metric_registry& metrics)
    : m_redirects(metrics.add_counter("boragehollow_redirects_total",
                                      "Offers of a call to another target after a refusal")),
      m_in_use(metrics.add_gauge("boragehollow_target_slots_in_use", "Slots of the local target in use")),
      m_queued(metrics.add_gauge("boragehollow_target_queued", "Calls that wait for the local target")),
      m_slots(metrics.add_gauge("boragehollow_target_slots", "Slots of the local target")),
      m_service_time(metrics.add_gauge("boragehollow_target_service_microseconds",
                                       "Mean time for which a short call holds a slot of the local target")) {
    const auto add_reason = [this, &metrics](std::string_view reason) {
        m_refusals.emplace(reason, &metrics.add_counter("boragehollow_attempts_refused_total",
                                                        "Refusals by the daemons of targets, by reason",
                                                        {{"reason", std::string(reason)}}));
    };
    for (const refusal_reason reason : counted_reasons) {
        add_reason(admission::to_string(reason));
    }
    add_reason(other_reason);
}

void load_metrics::count_refusal(std::string_view reason) {
    auto found = m_refusals.find(reason);
    if (found == m_refusals.end()) {
        found = m_refusals.find(other_reason);
    }
    found->second->add();
}

void load_metrics::set_target(const admission::admission_status& status) {
    m_in_use.set(status.running_short + status.running_long);
    m_queued.set(status.queued_short + status.queued_long);
    m_slots.set(status.slots);
    m_service_time.set(status.mean_service_time.count());
}

} // namespace boragehollow::forwarding
