#pragma once

#include "boragehollow/codec/decode_error.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace boragehollow::codec {

/// Largest document that a daemon accepts from another one.
inline constexpr std::size_t max_document_bytes = std::size_t{16} * 1024 * 1024;

/// A configuration document as daemons send it to each other: its size in 4 bytes, big-endian, and its bytes
/// compressed by zlib. Documents list similar routes, so that they shrink to about a tenth.
std::string compress_document(std::string_view document);

tl::expected<std::string, decode_error> decompress_document(std::string_view bytes);

} // namespace boragehollow::codec
