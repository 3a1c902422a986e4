#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragehollow::settings {

/// Place of a value in the settings.
template <class Value>
using place = Value& (*)(daemon_settings&);

/// Name of 1 to 128 letters, digits, dots, hyphens and underscores. Always required.
struct name_entry {
    place<std::string> at;
};

/// `ADDRESS:PORT`; an empty default means that the entry is required.
struct endpoint_entry {
    place<endpoint> at;
    std::string_view fallback;
};

struct optional_endpoint_entry {
    place<std::optional<endpoint>> at;
};

/// Name that may be left out.
struct optional_name_entry {
    place<std::optional<std::string>> at;
};

struct endpoint_list_entry {
    place<std::vector<endpoint>> at;
};

struct size_entry {
    place<std::size_t> at;
    std::size_t fallback;
    std::size_t least;
    std::size_t most;
    std::string_view unit;
};

/// Number with a fraction.
struct rate_entry {
    place<double> at;
    double fallback;
    double least;
    double most;
    std::string_view unit;
};

struct count_entry {
    place<std::uint32_t> at;
    std::uint32_t fallback;
    std::uint32_t least;
    std::uint32_t most;
};

struct duration_entry {
    place<std::chrono::milliseconds> at;
    std::chrono::milliseconds fallback;
    std::chrono::milliseconds least;
    std::chrono::milliseconds most;
};

/// Duration that has no default: leaving it out switches the limit off.
struct optional_duration_entry {
    place<std::optional<std::chrono::milliseconds>> at;
    std::chrono::milliseconds least;
    std::chrono::milliseconds most;
};

struct flag_entry {
    place<bool> at;
    bool fallback;
};

/// One of several words; the first one is the default.
struct choice_entry {
    void (*choose)(daemon_settings&, std::size_t index);
    std::vector<std::string_view> words;
    std::size_t fallback = 0;
};

using entry_kind = std::variant<name_entry, optional_name_entry, endpoint_entry, optional_endpoint_entry,
                                endpoint_list_entry, size_entry, rate_entry, count_entry, duration_entry,
                                optional_duration_entry, flag_entry, choice_entry>;

struct entry {
    std::string_view key; ///< `section.name`.
    entry_kind kind;
    std::string_view description;
};

struct section {
    std::string_view name;
    std::string_view description;
};

/// All entries, grouped by section in the order of `sections`.
std::span<const entry> entries();
std::span<const section> sections();

} // namespace boragehollow::settings
