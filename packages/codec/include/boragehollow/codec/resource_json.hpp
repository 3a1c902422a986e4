#pragma once

#include "boragehollow/codec/json_reader.hpp"
#include "boragehollow/config/config_snapshot.hpp"

#include <string>
#include <utility>

/// Resources as JSON, the form in which operators write and read them. Reading checks the form only;
/// `config::validate` checks the limits.
namespace boragehollow::codec {

json to_json(const config::resource& value);
json to_json(const config::resource_key& value);
json to_json(const config::stored_resource& value);

void read_value(const json& value, const std::string& path, config::revision& target, json_errors& faults);
void read_value(const json& value, const std::string& path, config::balancing_policy& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, std::vector<config::weighted_backend>& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, config::retry_policy& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, config::hedging_policy& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, config::admission_policy& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, config::ejection_policy& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, config::resource& target, json_errors& faults);
void read_value(const json& value, const std::string& path, config::resource_key& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, config::stored_resource& target,
                json_errors& faults);

/// Reads a value as a whole, with all of its faults at once. `path` is its place in the document.
template <class T>
tl::expected<T, json_errors> from_json(const json& value, const std::string& path = "") {
    T result{};
    json_errors faults;
    read_value(value, path, result, faults);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return result;
}

} // namespace boragehollow::codec
