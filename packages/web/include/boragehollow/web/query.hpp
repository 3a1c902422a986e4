#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::web {

/// Decodes percent escapes; returns nothing if an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text);

/// Escapes all bytes except letters, digits and `-._~`.
std::string percent_encode(std::string_view text);

/// Parses a query string. If a name is repeated, the last value wins.
std::map<std::string, std::string> parse_query(std::string_view query);

/// Splits a path into its non-empty segments: `/v1/changes/7` gives v1, changes, 7.
std::vector<std::string> path_segments(std::string_view path);

} // namespace boragehollow::web
