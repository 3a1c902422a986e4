#pragma once

#include "parts.hpp"

#include <chrono>
#include <string>

namespace boragehollow::daemon {

constexpr std::chrono::seconds caller_silence{30};
constexpr std::chrono::seconds operator_silence{5};
constexpr std::chrono::milliseconds target_silence{700};

/// How one HTTP source is opened. A silent client holds a thread until the longest silence is over, so the
/// bound is small where threads are few: a target has to announce itself twice in the 1.5 s of its
/// heartbeats.
struct http_source {
    std::string name;
    common::endpoint listen;
    std::size_t threads;
    std::chrono::milliseconds longest_silence;
};

/// Opens a listener and counts the requests that it refuses before `serve` sees them.
tl::expected<std::unique_ptr<web::http_server>, std::string> open_http(telemetry::metric_registry& metrics,
                                                                       std::size_t header_bytes,
                                                                       const http_source& source,
                                                                       web::http_server::handler serve);

tl::expected<std::unique_ptr<web::http_server>, std::string>
open_http(pipeline::parts& all, const http_source& source, web::http_server::handler serve);

/// Counts the requests that a front refuses as faulty.
web::http_server::handler counted(pipeline::parts& all, const std::string& listener,
                                  web::http_server::handler serve);

} // namespace boragehollow::daemon
