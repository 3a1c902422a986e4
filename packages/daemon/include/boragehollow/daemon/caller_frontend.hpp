#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/shared_snapshot.hpp"
#include "boragehollow/daemon/call_runner.hpp"
#include "boragehollow/routing/route_table.hpp"
#include "boragehollow/web/http_server.hpp"

#include <atomic>
#include <chrono>
#include <memory>

namespace boragehollow::daemon {

/// Whether calls are accepted; published by the duties that decide it.
struct serving_state {
    std::atomic<bool> ready{false};
    std::atomic<bool> stopping{false};
};

struct caller_frontend_settings {
    std::chrono::milliseconds longest_deadline{600'000};
};

/// HTTP source of calls: parses the request, matches its route and passes the call to the call runner.
class caller_frontend {
public:
    caller_frontend(caller_frontend_settings settings, const serving_state& state,
                    const common::shared_snapshot<routing::route_table>& routes, call_runner& runner,
                    telemetry::metric_registry& metrics);

    void serve(web::server_exchange& exchange);

private:
    std::optional<peer::call_failure> refusal(const web::server_exchange& exchange) const;
    incoming_call make_call(const web::server_exchange& exchange, const routing::matched_route& matched);

    caller_frontend_settings m_settings;
    const serving_state& m_state;
    const common::shared_snapshot<routing::route_table>& m_routes;
    call_runner& m_runner;
    telemetry::counter& m_refused;
};

} // namespace boragehollow::daemon
