#pragma once

#include "boragehollow/forwarding/asio.hpp"

#include <cstddef>

namespace boragehollow::forwarding {

inline constexpr std::size_t max_read_bytes = 64 * 1024;

/// Bytes of a body's chunk headers, extensions and trailers. A peer may send these without end and without
/// adding to the body. A chunk of one byte has a header of five.
inline constexpr std::size_t max_framing_bytes = 256 * 1024;
inline constexpr std::size_t max_framing_bytes_per_body_byte = 8;

enum class message_part { header, body };

/// Parses what has been received of one part of a message. Returns `need_more` while the part is incomplete,
/// so that the caller applies its limits after each read: Beast's own read operations go on for as long as
/// the received bytes end within a chunk header. `parsed_bytes` counts the bytes of the part.
template <class Parser>
error_code parse_received(beast::flat_buffer& buffer, Parser& parser, message_part part,
                          std::size_t& parsed_bytes) {
    while (part == message_part::header ? !parser.is_header_done() : !parser.is_done()) {
        if (buffer.size() == 0) {
            return make_error_code(http::error::need_more);
        }
        error_code error;
        const std::size_t count = parser.put(buffer.data(), error);
        buffer.consume(count);
        parsed_bytes += count;
        if (parsed_bytes > max_framing_bytes + parser.get().body().size() * max_framing_bytes_per_body_byte) {
            return make_error_code(http::error::body_limit);
        }
        if (error && error != http::error::need_more) {
            return error;
        }
        if (count == 0) {
            return make_error_code(http::error::need_more);
        }
    }
    return {};
}

/// Frees the memory of a buffer that is empty, so that idle connections hold little.
inline void release_empty_buffer(beast::flat_buffer& buffer) {
    constexpr std::size_t max_idle_bytes = 4 * 1024;
    if (buffer.size() == 0 && buffer.capacity() > max_idle_bytes) {
        buffer.shrink_to_fit();
    }
}

} // namespace boragehollow::forwarding
