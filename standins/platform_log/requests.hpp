#pragma once

#include "boragehollow/streams/memory_log.hpp"

#include <string>
#include <string_view>
#include <variant>

/// Parsed requests of the log service's HTTP interface.
namespace boragehollow::platform_log {

struct append_request {
    std::string stream;
};

struct read_records_request {
    streams::read_request request;
};

struct set_switches_request {};

struct counters_request {};

/// Request that is refused with an HTTP error status.
struct invalid_request {
    int status = 400;
    std::string detail;
};

using log_request = std::variant<append_request, read_records_request, set_switches_request, counters_request,
                                 invalid_request>;

log_request parse_request(std::string_view method, std::string_view path, std::string_view query);

/// Returns `current` with the values that the JSON object contains.
tl::expected<streams::memory_log_switches, std::string> parse_switches(std::string_view body,
                                                                       streams::memory_log_switches current);

std::string counters_json(const streams::all_log_counters& counters);

} // namespace boragehollow::platform_log
