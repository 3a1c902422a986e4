#pragma once

#include "pipeline_components.hpp"

#include <chrono>
#include <string>

namespace boragehollow::daemon {

constexpr std::chrono::seconds caller_read_timeout{30};
constexpr std::chrono::seconds operator_read_timeout{5};
constexpr std::chrono::milliseconds target_read_timeout{700};

/// How one HTTP source is opened. A silent client holds a thread until the longest silence is over, so the
/// bound is small where threads are few: a target has to announce itself twice in the 1.5 s of its
/// heartbeats.
struct http_listener_settings {
    std::string name;
    common::endpoint listen;
    std::size_t threads;
    std::chrono::milliseconds read_timeout;
};

/// Opens a listener and counts the requests that it refuses before `serve` sees them.
tl::expected<std::unique_ptr<web::http_server>, std::string>
open_http_listener(telemetry::metric_registry& metrics, std::size_t header_bytes,
                   const http_listener_settings& source, web::http_server::handler serve);

tl::expected<std::unique_ptr<web::http_server>, std::string>
open_http_listener(pipeline::components& daemon, const http_listener_settings& source,
                   web::http_server::handler serve);

/// Counts the requests that a front refuses as faulty.
web::http_server::handler count_client_errors(pipeline::components& daemon, const std::string& listener,
                                              web::http_server::handler serve);

} // namespace boragehollow::daemon
