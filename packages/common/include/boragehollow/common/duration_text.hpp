#pragma once

#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace boragehollow::common {

/// Parses a decimal number with a unit: `250ms`, `2.5s`, `10m`, `24h`. The error states the expected format.
tl::expected<std::chrono::milliseconds, std::string> parse_duration(std::string_view text);

/// Formats a duration in the largest unit that divides it.
std::string format_duration(std::chrono::milliseconds value);

} // namespace boragehollow::common
