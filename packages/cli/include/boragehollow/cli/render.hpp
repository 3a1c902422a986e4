#pragma once

#include "boragehollow/codec/json_reader.hpp"
#include "boragehollow/config/config_snapshot.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::cli {

/// Renders rows as aligned columns. Control characters are replaced, since a cell may contain any text that
/// an operator sent.
std::string render_table(const std::vector<std::vector<std::string>>& rows);

std::string render_outcome(const config::change_outcome& outcome);

// The following functions render response bodies of the daemon; a missing field becomes an empty cell.

/// Body of `GET /v1/resources...`: a list or a single resource.
std::string render_resources(const codec::json& body);
std::string render_status(const codec::json& body);
std::string render_accounts(const codec::json& body);
std::string render_timeline(const codec::json& body);

/// One line of `GET /v1/watch`.
std::string render_watch_line(const codec::json& line);

} // namespace boragehollow::cli
