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
/// are the same in every schema, so builds that know the schema and builds that don't reach the same verdict.
tl::expected<config::change, decode_error> decode_change(std::string_view bytes, std::uint32_t active_schema);

} // namespace boragehollow::codec
