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

/// Returns a reference to the field of one entry.
template <class Value>
using field_accessor = Value& (*)(daemon_settings&);

/// Name of 1 to 128 letters, digits, dots, hyphens and underscores. Required.
struct name_entry {
    field_accessor<std::string> field;
};

/// Name that the platform of a host may have chosen: 1 to 128 bytes without control characters. Required.
struct platform_name_entry {
    field_accessor<std::string> field;
};

/// `ADDRESS:PORT`; an empty default means that the entry is required.
struct endpoint_entry {
    field_accessor<endpoint> field;
    std::string_view default_value;
};

/// `ADDRESS:PORT` that may be omitted or empty.
struct optional_endpoint_entry {
    field_accessor<std::optional<endpoint>> field;
};

/// As `platform_name_entry`, but it may be omitted or empty.
struct optional_name_entry {
    field_accessor<std::optional<std::string>> field;
};

struct endpoint_list_entry {
    field_accessor<std::vector<endpoint>> field;
};

/// Any text; empty when it is omitted.
struct text_entry {
    field_accessor<std::string> field;
};

struct size_entry {
    field_accessor<std::size_t> field;
    std::size_t default_value;
    std::size_t min;
    std::size_t max;
    std::string_view unit;
};

/// Floating-point number.
struct real_entry {
    field_accessor<double> field;
    double default_value;
    double min;
    double max;
    std::string_view unit;
};

struct count_entry {
    field_accessor<std::uint32_t> field;
    std::uint32_t default_value;
    std::uint32_t min;
    std::uint32_t max;
};

struct duration_entry {
    field_accessor<std::chrono::milliseconds> field;
    std::chrono::milliseconds default_value;
    std::chrono::milliseconds min;
    std::chrono::milliseconds max;
};

/// Duration without a default; omitting it disables the limit.
struct optional_duration_entry {
    field_accessor<std::optional<std::chrono::milliseconds>> field;
    std::chrono::milliseconds min;
    std::chrono::milliseconds max;
};

struct flag_entry {
    field_accessor<bool> field;
    bool default_value;
};

/// One of several fixed values; `default_value` is the index of the default.
struct choice_entry {
    void (*set)(daemon_settings&, std::size_t index);
    std::size_t (*get)(const daemon_settings&);
    std::vector<std::string_view> values;
    std::size_t default_value = 0;
};

using entry_kind =
    std::variant<name_entry, platform_name_entry, optional_name_entry, endpoint_entry,
                 optional_endpoint_entry, endpoint_list_entry, text_entry, size_entry, real_entry,
                 count_entry, duration_entry, optional_duration_entry, flag_entry, choice_entry>;

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
