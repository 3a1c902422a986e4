#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace boragehollow::codec {

/// Reads a whole number with a unit of `ms`, `s`, `m` or `h`, such as "250ms" or "10s".
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// Text with the largest unit that loses nothing.
std::string format_duration(std::chrono::milliseconds value);

} // namespace boragehollow::codec
