#pragma once

#include "boragehollow/codec/decode_error.hpp"
#include "boragehollow/config/change.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Protobuf encoding of the records of the configuration stream.
namespace boragehollow::codec {

/// Fails if the encoded record exceeds `config::max_encoded_change`.
tl::expected<std::string, too_large> encode_change(const config::change& value);

/// Decodes only id, author and schema if the record's schema differs from the active one. These three fields
/// are encoded alike in every schema, so all builds accept or reject the change alike, whether they know its
/// schema or not.
tl::expected<config::change, decode_error> decode_change(std::string_view bytes, std::uint32_t active_schema);

} // namespace boragehollow::codec
