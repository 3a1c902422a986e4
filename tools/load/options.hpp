#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace boragehollow::load {

using std::chrono::milliseconds;

/// From `at` on, requests arrive at `per_second`.
struct rate_step {
    milliseconds at{0};
    double per_second = 0;
};

/// Shares of the kinds of request; they need not add up to 1.
struct request_mix {
    double short_work = 1;
    double order = 0; ///< POST with an idempotency key, not idempotent.
    double long_work = 0;
    double upload = 0;
    double download = 0;
};

struct load_options {
    std::vector<common::endpoint> servers;
    std::string host; ///< Host header; the server's address by default.
    std::string short_path = "/";
    std::string order_path = "/";
    std::string long_path = "/";
    std::string upload_path = "/";
    std::string download_path = "/";
    std::string caller_header = "boragehollow-caller";
    std::vector<rate_step> steps{{milliseconds(0), 100}};
    request_mix mix;
    std::uint32_t callers = 10;
    double first_caller_share = 0; ///< Share of the requests that the first caller sends; 0: an equal one.
    milliseconds duration{10'000};
    std::uint64_t max_requests = 1'000'000;
    std::uint32_t workers = 64;
    milliseconds short_work{0}; ///< 0: the target decides.
    milliseconds long_work{2'000};
    std::uint64_t upload_bytes = 1'000'000;
    std::uint64_t download_bytes = 1'000'000;
    bool chunked_upload = false;
    bool fresh_connections = false;
    milliseconds deadline{0}; ///< 0: no deadline header.
    milliseconds timeout{15'000};
    milliseconds grace{20'000}; ///< After the last arrival, requests that were not sent are given up.
    std::uint64_t seed = 1;
    std::string answers;
    std::string summary;
};

struct usage {
    std::string text;
    bool error = false;
};

tl::expected<load_options, usage> parse_load_options(int argc, const char* const* argv);

} // namespace boragehollow::load
