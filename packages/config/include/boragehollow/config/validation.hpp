#pragma once

#include "boragehollow/config/change.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::config {

/// An invalid field, given by its path such as `retry.max_attempts`, and the rule that it violates.
struct field_error {
    std::string field;
    std::string detail;

    bool operator==(const field_error&) const = default;
};

/// Who chooses the names of resources. The operators of this product keep to `is_valid_name`; a platform has
/// its own rules, so that all names without control characters are accepted.
enum class name_source { product, platform };

/// Returns all errors of one resource, in the order of its fields.
std::vector<field_error> validate(const resource& value, name_source names = name_source::product);

/// Returns the errors of the change id and the author. These fields are the same in every schema.
std::vector<field_error> validate_header(const change& value);

/// Returns the first error of the operations that does not depend on the state: a wrong number of operations,
/// two operations on one resource, or an invalid field.
std::optional<rejected> validate_operations(const change& value);

/// Returns true when `name` can be the name of a resource.
bool is_valid_name(std::string_view name);

} // namespace boragehollow::config
