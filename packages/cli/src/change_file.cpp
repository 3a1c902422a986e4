#include "boragehollow/cli/change_file.hpp"

#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/config/validation.hpp"

#include <algorithm>

namespace boragehollow::cli {

namespace {

using codec::json;
using codec::json_faults;

/// Where an entry's resource stands, for the faults that validation finds.
struct file_entry {
    config::operation operation;
    std::string path;
    std::string resource_path;
};

file_entry read_entry(const json& value, const std::string& path, json_faults& faults) {
    if (value.is_object() && value.contains("resource")) {
        config::stored_resource stored;
        codec::read_value(value, path, stored, faults);
        return {config::put_operation{std::move(stored.value), stored.changed_at}, path,
                codec::join_path(path, "resource")};
    }
    const bool is_operation = value.is_object() && (value.contains("put") || value.contains("delete") ||
                                                    value.contains("activate_schema"));
    if (is_operation) {
        config::operation step;
        codec::read_value(value, path, step, faults);
        return {std::move(step), path, codec::join_path(path, "put")};
    }
    config::put_operation put;
    codec::read_value(value, path, put.value, faults);
    return {std::move(put), path, path};
}

std::vector<file_entry> read_entries(const json& document, json_faults& faults) {
    const bool is_listing = document.is_object() && document.contains("resources");
    const json& list = is_listing ? document.at("resources") : document;
    if (!list.is_array()) {
        return {read_entry(list, is_listing ? "resources" : "", faults)};
    }
    std::vector<file_entry> entries;
    entries.reserve(list.size());
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string path = (is_listing ? "resources[" : "[") + std::to_string(i) + "]";
        entries.push_back(read_entry(list[i], path, faults));
    }
    return entries;
}

bool names_key(const std::vector<file_fault>& faults, const std::string& key) {
    return std::ranges::find(faults, key, &file_fault::key) != faults.end();
}

/// Adds the faults of the entry's limits, except where its form is faulty already.
void validate_entry(const std::string& file, const file_entry& entry, std::vector<file_fault>& faults) {
    const auto* put = std::get_if<config::put_operation>(&entry.operation);
    const bool is_unreadable = names_key(faults, entry.path) || names_key(faults, entry.resource_path) ||
                               names_key(faults, codec::join_path(entry.resource_path, "kind"));
    if (put == nullptr || is_unreadable) {
        return;
    }
    for (config::field_fault& fault : config::validate(put->value)) {
        std::string key = codec::join_path(entry.resource_path, fault.field);
        if (!names_key(faults, key)) {
            faults.push_back({file, std::move(key), std::move(fault.detail)});
        }
    }
}

/// The key in the file for a field path in the change, which begins with the number of the operation.
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

std::string to_string(const file_fault& fault) {
    const std::string place = fault.line == 0 ? fault.file : fault.file + ":" + std::to_string(fault.line);
    return place + ": " + (fault.key.empty() ? "" : fault.key + ": ") + fault.detail;
}

tl::expected<std::vector<config::operation>, std::vector<file_fault>>
read_change_file(const std::string& file, std::string_view text) {
    const auto document = codec::parse_json(text);
    if (!document) {
        return tl::unexpected(
            std::vector<file_fault>{{file, document.error().field, document.error().detail}});
    }
    json_faults form_faults;
    const std::vector<file_entry> entries = read_entries(*document, form_faults);
    std::vector<file_fault> faults;
    for (codec::json_fault& fault : form_faults) {
        faults.push_back({file, std::move(fault.field), std::move(fault.detail)});
    }
    std::vector<config::operation> operations;
    operations.reserve(entries.size());
    for (const file_entry& entry : entries) {
        validate_entry(file, entry, faults);
        operations.push_back(entry.operation);
    }
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    const config::change whole{"check", "", 1, operations};
    if (const auto fault = config::validate_operations(whole)) {
        return tl::unexpected(
            std::vector<file_fault>{{file, key_in_file(fault->field, entries), fault->detail}});
    }
    return operations;
}

} // namespace boragehollow::cli
