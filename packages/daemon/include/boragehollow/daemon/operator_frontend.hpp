#pragma once

#include "boragehollow/daemon/operator_callbacks.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/web/http_server.hpp"

#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

namespace boragehollow::daemon {

struct operator_frontend_settings {
    std::size_t max_body_bytes = 262'144;
    std::size_t watch_ring_size = 1'024;
};

/// HTTP API for operators. Translates between JSON and values; decisions are made by the duties behind the
/// callbacks.
class operator_frontend {
public:
    operator_frontend(operator_frontend_settings settings, operator_callbacks callbacks,
                      const telemetry::event_log& events);

    void serve(web::server_exchange& exchange);

    /// Ends the open watches, so that the HTTP server can stop.
    void stop() { m_stopping = true; }

private:
    void serve_health(web::server_exchange& exchange) const;
    void serve_metrics(web::server_exchange& exchange) const;
    void serve_changes(web::server_exchange& exchange, const std::vector<std::string>& segments);
    void serve_resources(web::server_exchange& exchange, const std::vector<std::string>& segments);
    void list_resources(web::server_exchange& exchange, const std::string& kind_name) const;
    void get_resource(web::server_exchange& exchange, const config::resource_key& key) const;
    void put_resource(web::server_exchange& exchange, const config::resource_key& key);
    void delete_resource(web::server_exchange& exchange, const config::resource_key& key);
    void publish(web::server_exchange& exchange, const config::change& change);
    void serve_status(web::server_exchange& exchange) const;
    void serve_accounts(web::server_exchange& exchange) const;
    void serve_timeline(web::server_exchange& exchange) const;
    void serve_watch(web::server_exchange& exchange);
    void serve_links(web::server_exchange& exchange);

    operator_frontend_settings m_settings;
    operator_callbacks m_callbacks;
    const telemetry::event_log& m_events;
    std::atomic<bool> m_stopping{false};
};

} // namespace boragehollow::daemon
