#pragma once

#include "boragehollow/common/endpoint.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace boragehollow::standin {

struct target_options {
    common::endpoint listen{"127.0.0.1", 0};
    std::string service = "desk";
    std::string name; ///< Value of the x-target header; the address if empty.
    std::optional<common::endpoint> announce;
    std::map<std::string, std::string> labels;
    std::uint32_t slots = 6;  ///< Maximum number of concurrent requests.
    std::uint32_t queue = 16; ///< Maximum number of waiting requests; further ones are shed.
    std::uint32_t connections = 130;
    std::chrono::microseconds connection_cost{1'000};
    std::chrono::milliseconds work{5};
    std::chrono::milliseconds queue_max_wait{2'000};
    std::chrono::milliseconds cold_start{0};
    std::chrono::milliseconds drain_quiet{
        1'000}; ///< A draining target stops after this time without requests.
    std::size_t ledger_entries = 200'000;
};

/// Text to print instead of starting the program.
struct usage {
    std::string text;
    bool error = false;
};

tl::expected<target_options, usage> parse_target_options(int argc, const char* const* argv);

} // namespace boragehollow::standin
