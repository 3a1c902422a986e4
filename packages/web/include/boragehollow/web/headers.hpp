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

/// Compares header names: the ASCII case is ignored.
bool equal_names(std::string_view left, std::string_view right);

/// Returns the value of the first header with this name.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

/// Returns the headers to forward: drops hop-by-hop headers, headers that `Connection` lists, and
/// Content-Length, which is written anew for the next hop.
header_list end_to_end_headers(const header_list& headers);

} // namespace boragehollow::web
