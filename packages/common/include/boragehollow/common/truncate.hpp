#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace boragehollow::common {

/// Truncates `text` to at most `length` bytes without splitting a UTF-8 sequence.
std::string truncate_utf8(std::string_view text, std::size_t length);

} // namespace boragehollow::common
