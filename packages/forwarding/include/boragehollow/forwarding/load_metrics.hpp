#pragma once

#include "boragehollow/admission/admission_controller.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <map>
#include <string>
#include <string_view>

namespace boragehollow::forwarding {

/// What an operator can see of the load: offers that followed a refusal, refusals by reason, and the use of
/// the local target.
class load_metrics {
public:
    explicit load_metrics(telemetry::metric_registry& metrics);

    void count_redirect() { m_redirects.add(); }

    /// Counts a refusal by the daemon of a target. A reason that this version does not know counts as
    /// "other".
    void count_refusal(std::string_view reason);

    void set_target(const admission::admission_status& status);

private:
    telemetry::counter& m_redirects;
    telemetry::gauge& m_in_use;
    telemetry::gauge& m_queued;
    telemetry::gauge& m_slots;
    telemetry::gauge& m_service_time;
    std::map<std::string, telemetry::counter*, std::less<>> m_refusals; ///< By reason.
};

} // namespace boragehollow::forwarding
