#pragma once

#include "boragehollow/config/change.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::cli {

/// A fault of a file, with the place that is known: the path of a key, or a line.
struct file_fault {
    std::string file;
    std::string key;
    std::string detail;
    std::size_t line = 0; ///< 0 when only the key is known.

    bool operator==(const file_fault&) const = default;
};

std::string to_string(const file_fault& fault);

/// Reads the operations of a JSON file: one entry, a list of entries, or the output of `get`. An entry is a
/// resource; an operation (`put`, `delete`, `activate_schema`, with `expected_revision`); or a resource with
/// its `revision` as `get` prints it, which becomes the expected revision.
tl::expected<std::vector<config::operation>, std::vector<file_fault>>
read_change_file(const std::string& file, std::string_view text);

} // namespace boragehollow::cli
