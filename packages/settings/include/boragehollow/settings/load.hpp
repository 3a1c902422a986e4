#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::settings {

/// An invalid, unknown or missing entry.
struct settings_error {
    std::string key;      ///< Dotted path; empty when the text is not valid TOML or the file cannot be read.
    std::size_t line = 0; ///< 0 when the error has no line, as for a missing key.
    std::string message;
};

/// All errors of one settings text, ordered by line.
using settings_errors = std::vector<settings_error>;

/// Parses a settings text. Reports every error, not only the first one.
tl::expected<daemon_settings, settings_errors> parse_settings(std::string_view text);

/// Reads and parses a settings file.
tl::expected<daemon_settings, settings_errors> load_settings(const std::filesystem::path& file);

/// Formats an error as `FILE:LINE: KEY: MESSAGE`; the parts that are unknown are left out.
std::string to_string(const settings_error& error, std::string_view file);

/// Reference of all entries in Markdown. docs/settings.md holds this text.
std::string render_reference();

} // namespace boragehollow::settings
