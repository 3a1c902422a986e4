#pragma once

#include "boragehollow/codec/json_reader.hpp"
#include "boragehollow/config/config_snapshot.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::cli {

/// Columns as wide as their widest cell. Control characters are replaced, as a cell may hold any text that an
/// operator sent.
std::string render_table(const std::vector<std::vector<std::string>>& rows);

std::string render_outcome(const config::change_outcome& outcome);

// The following take the bodies of the daemon's answers; fields that are absent give empty cells.

/// Body of `GET /v1/resources...`: a listing or a single resource.
std::string render_resources(const codec::json& body);
std::string render_status(const codec::json& body);
std::string render_timeline(const codec::json& body);

/// One line of `GET /v1/watch`.
std::string render_watch_line(const codec::json& line);

} // namespace boragehollow::cli
