#include "boragehollow/cli/change_file.hpp"

#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/config/validation.hpp"

#include <algorithm>

namespace boragehollow::cli {

namespace {

using codec::json;
using codec::json_errors;

/// One operation, and the paths of its entry and its resource in the file, for error messages.
struct file_entry {
    config::operation operation;
    std::string path;
    std::string resource_path;
};

file_entry read_entry(const json& value, const std::string& path, json_errors& errors) {
    if (value.is_object() && value.contains("resource")) {
        config::stored_resource stored;
        codec::read_value(value, path, stored, errors);
        return {config::put_operation{std::move(stored.value), stored.changed_at}, path,
                codec::join_path(path, "resource")};
    }
    const bool is_operation = value.is_object() && (value.contains("put") || value.contains("delete") ||
                                                    value.contains("activate_schema"));
    if (is_operation) {
        config::operation step;
        codec::read_value(value, path, step, errors);
        return {std::move(step), path, codec::join_path(path, "put")};
    }
    config::put_operation put;
    codec::read_value(value, path, put.value, errors);
    return {std::move(put), path, path};
}

std::vector<file_entry> read_entries(const json& document, json_errors& errors) {
    const bool is_listing = document.is_object() && document.contains("resources");
    const json& list = is_listing ? document.at("resources") : document;
    if (!list.is_array()) {
        return {read_entry(list, is_listing ? "resources" : "", errors)};
    }
    std::vector<file_entry> entries;
    entries.reserve(list.size());
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string path = (is_listing ? "resources[" : "[") + std::to_string(i) + "]";
        entries.push_back(read_entry(list[i], path, errors));
    }
    return entries;
}

bool has_error_at(const std::vector<file_error>& errors, const std::string& key) {
    return std::ranges::find(errors, key, &file_error::key) != errors.end();
}

/// Adds the validation errors of an entry, except for fields that already have a format error.
void validate_entry(const std::string& file, const file_entry& entry, std::vector<file_error>& errors) {
    const auto* put = std::get_if<config::put_operation>(&entry.operation);
    const bool is_malformed = has_error_at(errors, entry.path) || has_error_at(errors, entry.resource_path) ||
                              has_error_at(errors, codec::join_path(entry.resource_path, "kind"));
    if (put == nullptr || is_malformed) {
        return;
    }
    for (config::field_error& error : config::validate(put->value)) {
        std::string key = codec::join_path(entry.resource_path, error.field);
        if (!has_error_at(errors, key)) {
            errors.push_back({file, std::move(key), std::move(error.detail)});
        }
    }
}

/// Maps a field path in the change, which begins with the index of the operation, to the key in the file.
std::string key_in_file(const std::string& field, const std::vector<file_entry>& entries) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const std::string prefix = "operations[" + std::to_string(i) + "]";
        if (field.starts_with(prefix)) {
            return entries[i].path + field.substr(prefix.size());
        }
    }
    return field;
}

} // namespace

std::string to_string(const file_error& error) {
    const std::string place = error.line == 0 ? error.file : error.file + ":" + std::to_string(error.line);
    return place + ": " + (error.key.empty() ? "" : error.key + ": ") + error.detail;
}

tl::expected<std::vector<config::operation>, std::vector<file_error>>
read_change_file(const std::string& file, std::string_view text) {
    const auto document = codec::parse_json(text);
    if (!document) {
        return tl::unexpected(
            std::vector<file_error>{{file, document.error().field, document.error().detail}});
    }
    json_errors format_errors;
    const std::vector<file_entry> entries = read_entries(*document, format_errors);
    std::vector<file_error> errors;
    for (codec::json_error& error : format_errors) {
        errors.push_back({file, std::move(error.field), std::move(error.detail)});
    }
    std::vector<config::operation> operations;
    operations.reserve(entries.size());
    for (const file_entry& entry : entries) {
        validate_entry(file, entry, errors);
        operations.push_back(entry.operation);
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    const config::change complete_change{"check", "", 1, operations};
    if (const auto error = config::validate_operations(complete_change)) {
        return tl::unexpected(
            std::vector<file_error>{{file, key_in_file(error->field, entries), error->detail}});
    }
    return operations;
}

} // namespace boragehollow::cli
