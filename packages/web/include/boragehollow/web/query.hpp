#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::web {

/// Decodes percent escapes; an empty result means that an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text);

/// Parameters of a query string; the last value of a repeated name counts.
std::map<std::string, std::string> parse_query(std::string_view query);

/// Segments of a path without empty ones: `/v1/changes/7` gives v1, changes, 7.
std::vector<std::string> path_segments(std::string_view path);

} // namespace boragehollow::web
