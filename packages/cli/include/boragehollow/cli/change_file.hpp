#pragma once

#include "boragehollow/config/change.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::cli {

/// An error in a file, located by the path of a key, by a line, or by both.
struct file_error {
    std::string file;
    std::string key;
    std::string detail;
    std::size_t line = 0; ///< 0 when the line is unknown.

    bool operator==(const file_error&) const = default;
};

std::string to_string(const file_error& error);

/// Parses the operations of a JSON file: one entry, a list of entries, or the output of `get`. An entry is a
/// resource, an operation (`put`, `delete` or `activate_schema`, with an `expected_revision`), or a resource
/// with its `revision` as printed by `get`, which becomes the expected revision.
tl::expected<std::vector<config::operation>, std::vector<file_error>>
read_change_file(const std::string& file, std::string_view text);

} // namespace boragehollow::cli
