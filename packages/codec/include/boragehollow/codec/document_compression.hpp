#pragma once

#include "boragehollow/codec/decode_error.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace boragehollow::codec {

/// Limit on the decompressed size of a document that another daemon sends.
inline constexpr std::size_t max_document_bytes = std::size_t{16} * 1024 * 1024;

/// Encodes a configuration document for transfer between daemons: the uncompressed size as 4 bytes in
/// big-endian order, then the zlib-compressed document. The routes of a document resemble each other, so it
/// compresses to about a tenth.
std::string compress_document(std::string_view document);

tl::expected<std::string, decode_error> decompress_document(std::string_view bytes);

} // namespace boragehollow::codec
