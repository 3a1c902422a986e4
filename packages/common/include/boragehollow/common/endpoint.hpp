#pragma once

#include <tl/expected.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragehollow::common {

/// IP address and port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Parses `ADDRESS:PORT`, with an IPv6 address in brackets. The error states the cause.
tl::expected<endpoint, std::string> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& value);

} // namespace boragehollow::common
