#pragma once

#include "boragehollow/config/change.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::config {

/// A field that breaks a rule, named by its path, such as `retry.max_attempts`.
struct field_error {
    std::string field;
    std::string detail;

    bool operator==(const field_error&) const = default;
};

/// All faults of one resource, in the order of its fields.
std::vector<field_error> validate(const resource& value);

/// Faults of the change id and the author, which no schema changes.
std::vector<field_error> validate_header(const change& value);

/// First fault of the operations that shows without the state: their number, a resource named twice, fields.
std::optional<rejected> validate_operations(const change& value);

/// True for a string that can name a resource.
bool is_valid_name(std::string_view name);

/// Cuts `text` to at most `length` bytes and never inside a UTF-8 sequence.
std::string truncate_utf8(std::string_view text, std::size_t length);

} // namespace boragehollow::config
