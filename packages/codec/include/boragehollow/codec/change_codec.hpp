#pragma once

#include "boragehollow/codec/decode_error.hpp"
#include "boragehollow/config/change.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Records of the configuration stream as protobuf bytes.
namespace boragehollow::codec {

/// Fails when the record is larger than `config::max_encoded_change`.
tl::expected<std::string, too_large> encode_change(const config::change& value);

/// A record of another schema than the active one is decoded to its id, author and schema only, which no
/// schema changes: a build that does not know the schema then reaches the same verdict as one that does.
tl::expected<config::change, decode_error> decode_change(std::string_view bytes, std::uint32_t active_schema);

} // namespace boragehollow::codec
