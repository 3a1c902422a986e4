#pragma once

#include "boragehollow/codec/resource_json.hpp"
#include "boragehollow/config/change.hpp"

#include <string>

/// Changes, verdicts and outcomes as JSON.
namespace boragehollow::codec {

json to_json(const config::operation& value);
json to_json(const config::change& value);
json to_json(const config::verdict& value);
json to_json(const config::change_outcome& value);

void read_value(const json& value, const std::string& path, config::operation& target, json_errors& errors);
void read_value(const json& value, const std::string& path, config::change& target, json_errors& errors);
void read_value(const json& value, const std::string& path, config::verdict& target, json_errors& errors);
void read_value(const json& value, const std::string& path, config::change_outcome& target,
                json_errors& errors);

} // namespace boragehollow::codec
