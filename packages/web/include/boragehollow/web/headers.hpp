#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::web {

struct header {
    std::string name;
    std::string value;

    bool operator==(const header&) const = default;
};

using header_list = std::vector<header>;

/// Compares without regard to ASCII case, as header names are.
bool equal_names(std::string_view left, std::string_view right);

/// Value of the first header with that name.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

/// Headers to pass on: without the hop-by-hop ones, those that `Connection` names, and Content-Length, which
/// the next hop writes itself.
header_list end_to_end_headers(const header_list& headers);

} // namespace boragehollow::web
