#include "boragehollow/common/endpoint.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace boragehollow::common {

namespace {

bool is_ip_address(const std::string& address) {
    unsigned char binary[sizeof(in6_addr)];
    return inet_pton(AF_INET, address.c_str(), binary) == 1 ||
           inet_pton(AF_INET6, address.c_str(), binary) == 1;
}

bool is_ipv6(const std::string& address) {
    return address.find(':') != std::string::npos;
}

} // namespace

tl::expected<endpoint, std::string> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected("no port in '" + std::string(text) + "'");
    }
    std::string address(text.substr(0, colon));
    if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    if (!is_ip_address(address)) {
        return tl::unexpected("'" + address + "' is not an IP address");
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return tl::unexpected("'" + std::string(digits) + "' is not a port");
    }
    return endpoint{std::move(address), port};
}

std::string to_string(const endpoint& value) {
    const std::string port = std::to_string(value.port);
    return is_ipv6(value.address) ? "[" + value.address + "]:" + port : value.address + ":" + port;
}

} // namespace boragehollow::common
