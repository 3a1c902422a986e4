#include "boragehollow/forwarding/router_metrics.hpp"

namespace boragehollow::forwarding {

namespace {

telemetry::counter& add_outcome(telemetry::metric_registry& registry, const char* outcome) {
    return registry.add_counter("boragehollow_calls_total", "Calls of this host's callers by outcome",
                                {{"outcome", outcome}});
}

} // namespace

router_metrics::router_metrics(telemetry::metric_registry& registry)
    : answered(add_outcome(registry, "answered")), refused(add_outcome(registry, "not_run")),
      failed(add_outcome(registry, "unknown")), unauthorized(add_outcome(registry, "unauthorized")),
      attempts(registry.add_counter("boragehollow_attempts_total", "Attempts at targets or their daemons")),
      latency(registry.add_latency("boragehollow_call_latency_seconds",
                                   "Time from the request to its final response")) {}

} // namespace boragehollow::forwarding
