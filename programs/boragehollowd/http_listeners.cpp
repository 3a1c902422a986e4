#include "http_listeners.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

tl::expected<std::unique_ptr<web::http_server>, std::string>
open_http_listener(pipeline::components& daemon, const http_listener_settings& listener,
                   web::http_server::handler serve) {
    return open_http_listener(daemon.metrics, daemon.settings.limits.header_bytes, listener,
                              std::move(serve));
}

tl::expected<std::unique_ptr<web::http_server>, std::string>
open_http_listener(telemetry::metric_registry& metrics, std::size_t header_bytes,
                   const http_listener_settings& listener, web::http_server::handler serve) {
    telemetry::counter& rejected =
        metrics.add_counter("boragehollow_http_rejected_total",
                            "Requests refused as their bytes are not valid HTTP or exceed a limit",
                            {{"listener", listener.name}});
    web::server_options options;
    options.listen = listener.listen;
    options.worker_threads = static_cast<unsigned>(listener.threads);
    options.read_timeout = listener.read_timeout;
    options.keep_alive_timeout = std::min(options.keep_alive_timeout, listener.read_timeout);
    options.max_header_bytes = header_bytes;
    options.on_rejected = [&rejected](int) { rejected.add(); };
    auto server = web::http_server::start(options, std::move(serve));
    if (!server) {
        return tl::unexpected(server.error().detail);
    }
    return std::move(*server);
}

web::http_server::handler count_client_errors(pipeline::components& daemon, const std::string& listener,
                                              web::http_server::handler serve) {
    telemetry::counter& client_errors = daemon.metrics.add_counter(
        "boragehollow_http_client_errors_total", "Requests answered with a status from 400 to 499",
        {{"listener", listener}});
    return [&client_errors, serve = std::move(serve)](web::server_exchange& exchange) {
        serve(exchange);
        if (exchange.status() >= 400 && exchange.status() < 500) {
            client_errors.add();
        }
    };
}

} // namespace boragehollow::daemon
