#pragma once

#include "boragehollow/cli/change_file.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace boragehollow::cli {

/// Reads a file, or the standard input for `-`. The error states the file and the cause.
tl::expected<std::string, file_error> read_file(const std::string& path);

/// Returns all errors in the files. A name that ends in `.toml` is checked as daemon settings, any other as
/// resources.
std::vector<file_error> check_files(const std::vector<std::string>& files);

} // namespace boragehollow::cli
