#pragma once

#include "boragehollow/codec/decode_error.hpp"
#include "boragehollow/config/change.hpp"
#include "config.pb.h"

#include <tl/expected.hpp>

#include <string>

/// Conversion between configuration types and their protobuf messages.
namespace boragehollow::codec {

namespace messages = boragehollow::config::v1;

messages::Resource to_message(const config::resource& value);
messages::ResourceKey to_message(const config::resource_key& value);

tl::expected<config::resource, malformed> from_message(const messages::Resource& message);
tl::expected<config::resource_key, malformed> from_message(const messages::ResourceKey& message);

/// Serializes deterministically: map entries are written in key order.
std::string serialize(const google::protobuf::MessageLite& message);

} // namespace boragehollow::codec
