#pragma once

#include "boragehollow/codec/json_reader.hpp"
#include "boragehollow/config/config_snapshot.hpp"

#include <string>
#include <utility>

/// JSON encoding of resources, as operators read and write them. Reading checks only fields and types;
/// `config::validate` checks the limits.
namespace boragehollow::codec {

json to_json(const config::resource& value);
json to_json(const config::resource_key& value);
json to_json(const config::stored_resource& value);

void read_value(const json& value, const std::string& path, config::revision& target, json_errors& errors);
void read_value(const json& value, const std::string& path, config::balancing_policy& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, std::vector<config::weighted_backend>& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, config::retry_policy& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, config::hedging_policy& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, config::admission_policy& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, config::ejection_policy& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, config::resource& target, json_errors& errors);
void read_value(const json& value, const std::string& path, config::resource_key& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, config::stored_resource& target,
                json_errors& errors);

/// Reads a complete value and returns either the value or all of its errors. `path` is its location in the
/// document.
template <class T>
tl::expected<T, json_errors> from_json(const json& value, const std::string& path = "") {
    T result{};
    json_errors errors;
    read_value(value, path, result, errors);
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return result;
}

} // namespace boragehollow::codec
