#pragma once

#include <cstddef>
#include <string>
#include <variant>

namespace boragehollow::codec {

/// The bytes are not a valid message, or a required field is missing.
struct malformed {
    std::string detail;

    bool operator==(const malformed&) const = default;
};

/// The message exceeds a size limit. Both sizes are in bytes.
struct too_large {
    std::size_t size = 0;
    std::size_t limit = 0;

    bool operator==(const too_large&) const = default;
};

using decode_error = std::variant<malformed, too_large>;

std::string to_string(const decode_error& error);

} // namespace boragehollow::codec
