#pragma once

#include "boragehollow/telemetry/metrics.hpp"

namespace boragehollow::forwarding {

/// Metrics of the calls of this host's callers. The registry must outlive this object.
struct router_metrics {
    explicit router_metrics(telemetry::metric_registry& registry);

    telemetry::counter& answered;
    telemetry::counter& refused;
    telemetry::counter& failed;
    telemetry::counter& unauthorized;
    telemetry::counter& attempts;
    telemetry::latency_distribution& latency;
};

} // namespace boragehollow::forwarding
