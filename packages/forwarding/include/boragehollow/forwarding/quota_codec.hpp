#pragma once

#include "boragehollow/quota/messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace boragehollow::forwarding {

/// Encoding of the control request `quota-tokens` and of its reply: a version byte, then numbers in groups of
/// 7 bits (least significant first) and texts after their length. A name of more than 255 bytes, more than
/// 4,096 accounts, a number out of range or further bytes make a message invalid.
std::string encode(const quota::token_request& request);
std::string encode(const quota::token_reply& reply);

std::optional<quota::token_request> decode_token_request(std::string_view bytes);
std::optional<quota::token_reply> decode_token_reply(std::string_view bytes);

} // namespace boragehollow::forwarding
