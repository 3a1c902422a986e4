#include "boragehollow/codec/document_compression.hpp"

#include <zlib.h>

#include <cstdint>

namespace boragehollow::codec {

namespace {

constexpr std::size_t size_prefix_bytes = 4;

/// Fastest level: a daemon has a tenth of a core, and higher levels hardly shrink documents further.
constexpr int compression_level = Z_BEST_SPEED;

const Bytef* as_zlib_bytes(std::string_view text) {
    return reinterpret_cast<const Bytef*>(text.data());
}

Bytef* as_zlib_bytes(std::string& text, std::size_t offset = 0) {
    return reinterpret_cast<Bytef*>(text.data() + offset);
}

} // namespace

std::string compress_document(std::string_view document) {
    uLongf compressed = compressBound(document.size());
    std::string bytes(size_prefix_bytes + compressed, '\0');
    for (std::size_t i = 0; i < size_prefix_bytes; ++i) {
        bytes[i] = static_cast<char>(document.size() >> (8 * (size_prefix_bytes - 1 - i)) & 0xffU);
    }
    compress2(as_zlib_bytes(bytes, size_prefix_bytes), &compressed, as_zlib_bytes(document), document.size(),
              compression_level);
    bytes.resize(size_prefix_bytes + compressed);
    return bytes;
}

tl::expected<std::string, decode_error> decompress_document(std::string_view bytes) {
    if (bytes.size() < size_prefix_bytes) {
        return tl::unexpected<decode_error>(malformed{"the size prefix is incomplete"});
    }
    std::size_t size = 0;
    for (const char byte : bytes.substr(0, size_prefix_bytes)) {
        size = size << 8U | static_cast<std::uint8_t>(byte);
    }
    // The sender states the size, so it is checked before memory is allocated for it.
    if (size > max_document_bytes) {
        return tl::unexpected<decode_error>(too_large{size, max_document_bytes});
    }
    const std::string_view compressed = bytes.substr(size_prefix_bytes);
    std::string document(size, '\0');
    uLongf written = size;
    const int result =
        uncompress(as_zlib_bytes(document), &written, as_zlib_bytes(compressed), compressed.size());
    if (result != Z_OK || written != size) {
        return tl::unexpected<decode_error>(
            malformed{"the compressed document is corrupt or has a wrong size prefix"});
    }
    return document;
}

} // namespace boragehollow::codec
