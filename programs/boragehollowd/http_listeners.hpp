#pragma once

#include "pipeline_components.hpp"

#include <chrono>
#include <string>

namespace boragehollow::daemon {

constexpr std::chrono::seconds caller_read_timeout{30};
constexpr std::chrono::seconds operator_read_timeout{5};
constexpr std::chrono::milliseconds target_read_timeout{700};

/// Settings of one HTTP listener. A client that sends nothing occupies a thread until the read timeout, so
/// the timeout is short for listeners with few threads: a target has to announce itself twice in the 1.5 s of
/// its heartbeats.
struct http_listener_settings {
    std::string name;
    common::endpoint listen;
    std::size_t threads;
    std::chrono::milliseconds read_timeout;
};

/// Opens a listener. Counts the requests that it refuses before they reach `serve`.
tl::expected<std::unique_ptr<web::http_server>, std::string>
open_http_listener(telemetry::metric_registry& metrics, std::size_t header_bytes,
                   const http_listener_settings& listener, web::http_server::handler serve);

tl::expected<std::unique_ptr<web::http_server>, std::string>
open_http_listener(pipeline::components& daemon, const http_listener_settings& listener,
                   web::http_server::handler serve);

/// Counts the responses with a status from 400 to 499.
web::http_server::handler count_client_errors(pipeline::components& daemon, const std::string& listener,
                                              web::http_server::handler serve);

} // namespace boragehollow::daemon
