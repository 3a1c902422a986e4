#pragma once

#include "boragehollow/streams/memory_log.hpp"

#include <string>
#include <string_view>
#include <variant>

/// Requests of the log service's HTTP interface, parsed.
namespace boragehollow::platform_log {

struct append_call {
    std::string stream;
};

struct read_call {
    streams::read_request request;
};

struct switches_call {};

struct counters_call {};

struct bad_call {
    int status = 400;
    std::string detail;
};

using call = std::variant<append_call, read_call, switches_call, counters_call, bad_call>;

call parse_call(std::string_view method, std::string_view path, std::string_view query);

/// Takes over the members that the JSON object has; an error says what is wrong.
tl::expected<streams::memory_log_switches, std::string> parse_switches(std::string_view body,
                                                                       streams::memory_log_switches current);

std::string counters_json(const streams::all_log_counters& counters);

} // namespace boragehollow::platform_log
