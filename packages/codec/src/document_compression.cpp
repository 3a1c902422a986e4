#include "boragehollow/codec/document_compression.hpp"

#include <zlib.h>

#include <cstdint>

namespace boragehollow::codec {

namespace {

constexpr std::size_t size_bytes = 4;

/// The fastest level: a daemon has a tenth of a core, and higher levels save little on such text.
constexpr int compression_level = Z_BEST_SPEED;

const Bytef* bytes_of(std::string_view text) {
    return reinterpret_cast<const Bytef*>(text.data());
}

Bytef* bytes_of(std::string& text, std::size_t offset = 0) {
    return reinterpret_cast<Bytef*>(text.data() + offset);
}

} // namespace

std::string compress_document(std::string_view document) {
    uLongf compressed = compressBound(document.size());
    std::string bytes(size_bytes + compressed, '\0');
    for (std::size_t i = 0; i < size_bytes; ++i) {
        bytes[i] = static_cast<char>(document.size() >> (8 * (size_bytes - 1 - i)) & 0xffU);
    }
    compress2(bytes_of(bytes, size_bytes), &compressed, bytes_of(document), document.size(),
              compression_level);
    bytes.resize(size_bytes + compressed);
    return bytes;
}

tl::expected<std::string, decode_error> decompress_document(std::string_view bytes) {
    if (bytes.size() < size_bytes) {
        return tl::unexpected<decode_error>(malformed{"no size"});
    }
    std::size_t size = 0;
    for (const char byte : bytes.substr(0, size_bytes)) {
        size = size << 8U | static_cast<std::uint8_t>(byte);
    }
    // The size is another daemon's claim, and memory is taken by it.
    if (size > max_document_bytes) {
        return tl::unexpected<decode_error>(too_large{size, max_document_bytes});
    }
    const std::string_view body = bytes.substr(size_bytes);
    std::string document(size, '\0');
    uLongf written = size;
    const int result = uncompress(bytes_of(document), &written, bytes_of(body), body.size());
    if (result != Z_OK || written != size) {
        return tl::unexpected<decode_error>(malformed{"the compressed document cannot be read"});
    }
    return document;
}

} // namespace boragehollow::codec
