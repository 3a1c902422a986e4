#pragma once

#include "boragehollow/cli/change_file.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace boragehollow::cli {

/// Content of a file; `-` is the standard input. The error names the file and the cause.
tl::expected<std::string, file_fault> read_file(const std::string& path);

/// All faults of the files: daemon settings when the name ends in `.toml`, resources otherwise.
std::vector<file_fault> check_files(const std::vector<std::string>& files);

} // namespace boragehollow::cli
