#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::settings {

struct settings_error {
    std::string key;      ///< Dotted path, empty when the text is no TOML or the file cannot be read.
    std::size_t line = 0; ///< 0 when the fault has no place in the file, as with a missing key.
    std::string message;
};

/// All faults of one settings text, in the order of their lines.
using settings_errors = std::vector<settings_error>;

/// Reads a settings text. Every fault is reported, not only the first one.
tl::expected<daemon_settings, settings_errors> parse_settings(std::string_view text);

tl::expected<daemon_settings, settings_errors> load_settings(const std::filesystem::path& file);

/// `FILE:LINE: KEY: MESSAGE`.
std::string to_string(const settings_error& fault, std::string_view file);

/// The reference of all entries as Markdown; docs/settings.md holds this text.
std::string render_reference();

} // namespace boragehollow::settings
