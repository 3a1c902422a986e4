#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace boragehollow::load {

using std::chrono::milliseconds;

/// Sets the arrival rate from the offset `at` on.
struct rate_step {
    milliseconds at{0};
    double per_second = 0;
};

/// Relative shares of the request kinds; they need not add up to 1.
struct request_mix {
    double short_work = 1;
    double order = 0; ///< Non-idempotent POST with an idempotency key.
    double long_work = 0;
    double upload = 0;
    double download = 0;
};

struct load_options {
    std::vector<common::endpoint> servers;
    std::string host; ///< Host header; empty: the server's address.
    std::string short_path = "/";
    std::string order_path = "/";
    std::string long_path = "/";
    std::string upload_path = "/";
    std::string download_path = "/";
    std::string caller_header = "boragehollow-caller";
    std::vector<rate_step> steps{{milliseconds(0), 100}};
    request_mix mix;
    std::uint32_t callers = 10;
    /// Share of the requests assigned to the first caller before the rest is spread over all callers.
    double first_caller_share = 0;
    milliseconds duration{10'000};
    std::uint64_t max_requests = 1'000'000;
    std::uint32_t workers = 64;
    milliseconds short_work{0}; ///< Requested processing time; 0: the target's default.
    milliseconds long_work{2'000};
    std::uint64_t upload_bytes = 1'000'000;
    std::uint64_t download_bytes = 1'000'000;
    bool chunked_upload = false;
    bool fresh_connections = false;
    milliseconds deadline{0}; ///< Sent as boragehollow-deadline-ms; 0: no header.
    milliseconds timeout{15'000};
    /// Requests still unsent this long after the end of the arrivals are recorded as not sent.
    milliseconds grace{20'000};
    std::uint64_t seed = 1;
    std::string answers; ///< File for one JSON line per request; empty: none.
    std::string summary; ///< File for the summary as JSON; empty: none.
};

/// Help text, or a description of an invalid command line.
struct usage_message {
    std::string text;
    bool error = false;
};

tl::expected<load_options, usage_message> parse_load_options(int argc, const char* const* argv);

} // namespace boragehollow::load
