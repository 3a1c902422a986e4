#include "boragehollow/settings/load.hpp"

#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "conflicts.hpp"
#include "entries.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include <toml++/toml.h>

namespace boragehollow::settings {

namespace {

using common::overloaded;
/// Message of an invalid value; empty when the value is valid.
using value_error = std::optional<std::string>;

constexpr std::size_t max_name_length = 128;

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
}

bool is_control_character(char c) {
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

value_error read_text(const toml::node& node, std::string& text) {
    const auto* value = node.as_string();
    if (value == nullptr) {
        return "must be a string";
    }
    text = value->get();
    return std::nullopt;
}

value_error read_endpoint(const toml::node& node, endpoint& target) {
    std::string text;
    if (auto error = read_text(node, text)) {
        return error;
    }
    const auto parsed = common::parse_endpoint(text);
    if (!parsed) {
        return "must be ADDRESS:PORT with an IP address: " + parsed.error();
    }
    target = *parsed;
    return std::nullopt;
}

template <class Number>
value_error read_number(const toml::node& node, Number& target, Number min, Number max) {
    const auto* value = node.as_integer();
    if (value == nullptr) {
        return "must be a whole number";
    }
    const std::int64_t number = value->get();
    if (number < 0 || std::cmp_less(number, min) || std::cmp_greater(number, max)) {
        return "must lie between " + std::to_string(min) + " and " + std::to_string(max);
    }
    target = static_cast<Number>(number);
    return std::nullopt;
}

value_error read_duration(const toml::node& node, milliseconds& target, milliseconds min, milliseconds max) {
    std::string text;
    if (read_text(node, text)) {
        return "must be a string with a unit (ms, s, m or h), such as \"250ms\"";
    }
    const auto parsed = common::parse_duration(text);
    if (!parsed) {
        return parsed.error();
    }
    if (*parsed < min || *parsed > max) {
        return "must lie between " + common::format_duration(min) + " and " + common::format_duration(max);
    }
    target = *parsed;
    return std::nullopt;
}

std::string quoted_list(const std::vector<std::string_view>& values) {
    std::string text;
    for (const std::string_view value : values) {
        text += text.empty() ? "" : ", ";
        text += "\"" + std::string(value) + "\"";
    }
    return text;
}

/// Visitor that parses the value of one entry into the settings.
struct entry_reader {
    daemon_settings& settings;
    const toml::node& node;

    value_error read_name(std::string& text) const {
        if (auto error = read_text(node, text)) {
            return error;
        }
        if (text.empty() || text.size() > max_name_length ||
            !std::all_of(text.begin(), text.end(), is_name_character)) {
            return "must have 1 to 128 letters, digits, dots, hyphens or underscores";
        }
        return std::nullopt;
    }

    value_error read_platform_name(std::string& text) const {
        if (auto error = read_text(node, text)) {
            return error;
        }
        if (text.empty() || text.size() > max_name_length ||
            std::ranges::any_of(text, is_control_character)) {
            return "must have 1 to 128 bytes and no control characters";
        }
        return std::nullopt;
    }

    value_error operator()(const name_entry& kind) const { return read_name(kind.field(settings)); }

    value_error operator()(const platform_name_entry& kind) const {
        return read_platform_name(kind.field(settings));
    }

    /// A template whose placeholder has no value leaves an empty text.
    bool is_empty_text() const {
        const auto* text = node.as_string();
        return text != nullptr && text->get().empty();
    }

    value_error operator()(const optional_name_entry& kind) const {
        if (is_empty_text()) {
            return std::nullopt;
        }
        std::string value;
        if (auto error = read_platform_name(value)) {
            return error;
        }
        kind.field(settings) = std::move(value);
        return std::nullopt;
    }

    value_error operator()(const endpoint_entry& kind) const {
        return read_endpoint(node, kind.field(settings));
    }

    value_error operator()(const optional_endpoint_entry& kind) const {
        if (is_empty_text()) {
            return std::nullopt;
        }
        endpoint value;
        if (auto error = read_endpoint(node, value)) {
            return error;
        }
        kind.field(settings) = value;
        return std::nullopt;
    }

    value_error operator()(const endpoint_list_entry& kind) const {
        const auto* values = node.as_array();
        if (values == nullptr) {
            return "must be a list of ADDRESS:PORT";
        }
        std::vector<endpoint> result;
        for (const toml::node& value : *values) {
            endpoint item;
            if (auto error = read_endpoint(value, item)) {
                return "item " + std::to_string(result.size() + 1) + " " + *error;
            }
            result.push_back(item);
        }
        kind.field(settings) = std::move(result);
        return std::nullopt;
    }

    value_error operator()(const text_entry& kind) const { return read_text(node, kind.field(settings)); }

    value_error operator()(const size_entry& kind) const {
        return read_number(node, kind.field(settings), kind.min, kind.max);
    }

    value_error operator()(const real_entry& kind) const {
        const auto value = node.value<double>();
        // The negated comparison also rejects NaN.
        if (!value || !(*value >= kind.min && *value <= kind.max)) {
            std::ostringstream text;
            text << "must be a number from " << kind.min << " to " << kind.max;
            return text.str();
        }
        kind.field(settings) = *value;
        return std::nullopt;
    }

    value_error operator()(const count_entry& kind) const {
        return read_number(node, kind.field(settings), kind.min, kind.max);
    }

    value_error operator()(const duration_entry& kind) const {
        return read_duration(node, kind.field(settings), kind.min, kind.max);
    }

    value_error operator()(const optional_duration_entry& kind) const {
        milliseconds value{};
        if (auto error = read_duration(node, value, kind.min, kind.max)) {
            return error;
        }
        kind.field(settings) = value;
        return std::nullopt;
    }

    value_error operator()(const flag_entry& kind) const {
        const auto* value = node.as_boolean();
        if (value == nullptr) {
            return "must be true or false";
        }
        kind.field(settings) = value->get();
        return std::nullopt;
    }

    value_error operator()(const choice_entry& kind) const {
        std::string text;
        const value_error error = read_text(node, text);
        const auto found = std::find(kind.values.begin(), kind.values.end(), text);
        if (error || found == kind.values.end()) {
            return "must be one of " + quoted_list(kind.values);
        }
        kind.set(settings, static_cast<std::size_t>(found - kind.values.begin()));
        return std::nullopt;
    }
};

/// Sets the default of an entry. Returns false when the entry is required.
bool set_default(const entry& each, daemon_settings& settings) {
    const auto set = overloaded{
        [](const name_entry&) { return false; },
        [](const platform_name_entry&) { return false; },
        [&](const endpoint_entry& kind) {
            const auto default_value = common::parse_endpoint(kind.default_value);
            if (default_value) {
                kind.field(settings) = *default_value;
            }
            return default_value.has_value();
        },
        [](const optional_name_entry&) { return true; },
        [](const optional_endpoint_entry&) { return true; },
        [](const endpoint_list_entry&) { return true; },
        [](const text_entry&) { return true; },
        [&](const choice_entry& kind) {
            kind.set(settings, kind.default_value);
            return true;
        },
        [](const optional_duration_entry&) { return true; },
        [&](const auto& kind) {
            kind.field(settings) = kind.default_value;
            return true;
        },
    };
    return std::visit(set, each.kind);
}

const entry* find_entry(std::string_view key) {
    const auto all = entries();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const entry& each) { return each.key == key; });
    return found == all.end() ? nullptr : &*found;
}

bool is_section(std::string_view name) {
    const auto all = sections();
    return std::any_of(all.begin(), all.end(), [&](const section& each) { return each.name == name; });
}

class settings_reader {
public:
    daemon_settings settings;
    settings_errors errors;
    std::map<std::string, std::size_t, std::less<>> lines; ///< Lines of the keys that the text sets.

    void read(const toml::table& document) {
        for (const auto& [key, node] : document) {
            const std::string name(key.str());
            if (!is_section(name)) {
                add_error(name, key.source().begin.line, "unknown section or key outside a section");
                continue;
            }
            const auto* content = node.as_table();
            if (content == nullptr) {
                add_error(name, key.source().begin.line, "must be a section, as [" + name + "]");
                continue;
            }
            read_section(name, *content);
        }
    }

    void fill_missing() {
        for (const entry& each : entries()) {
            if (lines.contains(each.key)) {
                continue;
            }
            if (!set_default(each, settings)) {
                add_error(std::string(each.key), 0, "is missing and has no default");
            }
        }
    }

    void check_conflicts() {
        for (const conflict& each : find_conflicts(settings)) {
            const bool has_invalid_key = std::any_of(each.keys.begin(), each.keys.end(),
                                                     [&](const std::string& key) { return has_error(key); });
            if (has_invalid_key) {
                continue;
            }
            const auto set = std::find_if(each.keys.begin(), each.keys.end(),
                                          [&](const std::string& key) { return lines.contains(key); });
            add_error(each.keys.front(), set == each.keys.end() ? 0 : lines.at(*set), each.message);
        }
    }

private:
    void read_section(const std::string& name, const toml::table& content) {
        for (const auto& [key, node] : content) {
            const std::string path = name + "." + std::string(key.str());
            const std::size_t line = key.source().begin.line;
            const entry* found = find_entry(path);
            if (found == nullptr) {
                add_error(path, line, "unknown key");
                continue;
            }
            lines.emplace(path, line);
            set_default(*found, settings);
            if (const value_error error = std::visit(entry_reader{settings, node}, found->kind)) {
                add_error(path, line, *error);
            }
        }
    }

    void add_error(std::string key, std::size_t line, std::string message) {
        errors.push_back({std::move(key), line, std::move(message)});
    }

    bool has_error(std::string_view key) const {
        return std::any_of(errors.begin(), errors.end(),
                           [&](const settings_error& each) { return each.key == key; });
    }
};

} // namespace

tl::expected<daemon_settings, settings_errors> parse_settings(std::string_view text) {
    settings_reader result;
    try {
        result.read(toml::parse(text));
    } catch (const toml::parse_error& error) {
        return tl::unexpected(
            settings_errors{{"", error.source().begin.line, std::string(error.description())}});
    }
    result.fill_missing();
    result.check_conflicts();
    if (result.errors.empty()) {
        return std::move(result.settings);
    }
    std::stable_sort(result.errors.begin(), result.errors.end(),
                     [](const settings_error& a, const settings_error& b) { return a.line < b.line; });
    return tl::unexpected(std::move(result.errors));
}

tl::expected<daemon_settings, settings_errors> load_settings(const std::filesystem::path& file) {
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return tl::unexpected(settings_errors{{"", 0, "the file cannot be read or is empty"}});
    }
    return parse_settings(text.str());
}

std::string to_string(const settings_error& error, std::string_view file) {
    std::string text(file);
    if (error.line != 0) {
        text += ":" + std::to_string(error.line);
    }
    if (!error.key.empty()) {
        text += ": " + error.key;
    }
    return text + ": " + error.message;
}

} // namespace boragehollow::settings
