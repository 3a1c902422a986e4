#include "boragehollow/settings/load.hpp"

#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "contradictions.hpp"
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
using problem = std::optional<std::string>;

constexpr std::size_t longest_name = 128;

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
}

problem read_text(const toml::node& node, std::string& text) {
    const auto* value = node.as_string();
    if (value == nullptr) {
        return "must be a string";
    }
    text = value->get();
    return std::nullopt;
}

problem read_endpoint(const toml::node& node, endpoint& target) {
    std::string text;
    if (auto wrong = read_text(node, text)) {
        return wrong;
    }
    const auto parsed = common::parse_endpoint(text);
    if (!parsed) {
        return "must be ADDRESS:PORT with an IP number: " + parsed.error();
    }
    target = *parsed;
    return std::nullopt;
}

template <class Number>
problem read_number(const toml::node& node, Number& target, Number least, Number most) {
    const auto* value = node.as_integer();
    if (value == nullptr) {
        return "must be a whole number";
    }
    const std::int64_t number = value->get();
    if (number < 0 || std::cmp_less(number, least) || std::cmp_greater(number, most)) {
        return "must lie between " + std::to_string(least) + " and " + std::to_string(most);
    }
    target = static_cast<Number>(number);
    return std::nullopt;
}

problem read_duration(const toml::node& node, milliseconds& target, milliseconds least, milliseconds most) {
    std::string text;
    if (read_text(node, text)) {
        return "must be a string with a unit (ms, s, m or h), such as \"250ms\"";
    }
    const auto parsed = common::parse_duration(text);
    if (!parsed) {
        return parsed.error();
    }
    if (*parsed < least || *parsed > most) {
        return "must lie between " + common::format_duration(least) + " and " + common::format_duration(most);
    }
    target = *parsed;
    return std::nullopt;
}

std::string quoted_list(const std::vector<std::string_view>& words) {
    std::string text;
    for (const std::string_view word : words) {
        text += text.empty() ? "" : ", ";
        text += "\"" + std::string(word) + "\"";
    }
    return text;
}

/// Reads the value of one entry into the settings; the result says what is wrong with it.
struct entry_reader {
    daemon_settings& settings;
    const toml::node& node;

    problem read_name(std::string& text) const {
        if (auto wrong = read_text(node, text)) {
            return wrong;
        }
        if (text.empty() || text.size() > longest_name ||
            !std::all_of(text.begin(), text.end(), is_name_character)) {
            return "must have 1 to 128 letters, digits, dots, hyphens or underscores";
        }
        return std::nullopt;
    }

    problem operator()(const name_entry& kind) const { return read_name(kind.at(settings)); }

    problem operator()(const optional_name_entry& kind) const {
        std::string value;
        if (auto wrong = read_name(value)) {
            return wrong;
        }
        kind.at(settings) = std::move(value);
        return std::nullopt;
    }

    problem operator()(const endpoint_entry& kind) const { return read_endpoint(node, kind.at(settings)); }

    problem operator()(const optional_endpoint_entry& kind) const {
        endpoint value;
        if (auto wrong = read_endpoint(node, value)) {
            return wrong;
        }
        kind.at(settings) = value;
        return std::nullopt;
    }

    problem operator()(const endpoint_list_entry& kind) const {
        const auto* values = node.as_array();
        if (values == nullptr) {
            return "must be a list of ADDRESS:PORT";
        }
        std::vector<endpoint> result;
        for (const toml::node& value : *values) {
            endpoint item;
            if (auto wrong = read_endpoint(value, item)) {
                return "item " + std::to_string(result.size() + 1) + " " + *wrong;
            }
            result.push_back(item);
        }
        kind.at(settings) = std::move(result);
        return std::nullopt;
    }

    problem operator()(const size_entry& kind) const {
        return read_number(node, kind.at(settings), kind.least, kind.most);
    }

    problem operator()(const rate_entry& kind) const {
        const auto value = node.value<double>();
        // Written so that a value which is no number fails as well.
        if (!value || !(*value >= kind.least && *value <= kind.most)) {
            std::ostringstream text;
            text << "must be a number from " << kind.least << " to " << kind.most;
            return text.str();
        }
        kind.at(settings) = *value;
        return std::nullopt;
    }

    problem operator()(const count_entry& kind) const {
        return read_number(node, kind.at(settings), kind.least, kind.most);
    }

    problem operator()(const duration_entry& kind) const {
        return read_duration(node, kind.at(settings), kind.least, kind.most);
    }

    problem operator()(const optional_duration_entry& kind) const {
        milliseconds value{};
        if (auto wrong = read_duration(node, value, kind.least, kind.most)) {
            return wrong;
        }
        kind.at(settings) = value;
        return std::nullopt;
    }

    problem operator()(const flag_entry& kind) const {
        const auto* value = node.as_boolean();
        if (value == nullptr) {
            return "must be true or false";
        }
        kind.at(settings) = value->get();
        return std::nullopt;
    }

    problem operator()(const choice_entry& kind) const {
        std::string text;
        const problem wrong = read_text(node, text);
        const auto found = std::find(kind.words.begin(), kind.words.end(), text);
        if (wrong || found == kind.words.end()) {
            return "must be one of " + quoted_list(kind.words);
        }
        kind.choose(settings, static_cast<std::size_t>(found - kind.words.begin()));
        return std::nullopt;
    }
};

/// Sets the default; false means that the entry is required.
bool set_default(const entry& each, daemon_settings& settings) {
    const auto set = overloaded{
        [](const name_entry&) { return false; },
        [&](const endpoint_entry& kind) {
            const auto fallback = common::parse_endpoint(kind.fallback);
            if (fallback) {
                kind.at(settings) = *fallback;
            }
            return fallback.has_value();
        },
        [](const optional_name_entry&) { return true; },
        [](const optional_endpoint_entry&) { return true; },
        [](const endpoint_list_entry&) { return true; },
        [&](const choice_entry& kind) {
            kind.choose(settings, kind.fallback);
            return true;
        },
        [](const optional_duration_entry&) { return true; },
        [&](const auto& kind) {
            kind.at(settings) = kind.fallback;
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

class reader {
public:
    daemon_settings settings;
    settings_errors faults;
    std::map<std::string, std::size_t, std::less<>> lines; ///< Keys that the text sets.

    void read(const toml::table& document) {
        for (const auto& [key, node] : document) {
            const std::string name(key.str());
            if (!is_section(name)) {
                fault(name, key.source().begin.line, "unknown section or key outside a section");
                continue;
            }
            const auto* content = node.as_table();
            if (content == nullptr) {
                fault(name, key.source().begin.line, "must be a section, as [" + name + "]");
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
                fault(std::string(each.key), 0, "is missing and has no default");
            }
        }
    }

    void check_contradictions() {
        for (const contradiction& each : find_contradictions(settings)) {
            const bool uncertain = std::any_of(each.keys.begin(), each.keys.end(),
                                               [&](const std::string& key) { return is_faulty(key); });
            if (uncertain) {
                continue;
            }
            const auto set = std::find_if(each.keys.begin(), each.keys.end(),
                                          [&](const std::string& key) { return lines.contains(key); });
            fault(each.keys.front(), set == each.keys.end() ? 0 : lines.at(*set), each.message);
        }
    }

private:
    void read_section(const std::string& name, const toml::table& content) {
        for (const auto& [key, node] : content) {
            const std::string path = name + "." + std::string(key.str());
            const std::size_t line = key.source().begin.line;
            const entry* found = find_entry(path);
            if (found == nullptr) {
                fault(path, line, "unknown key");
                continue;
            }
            lines.emplace(path, line);
            set_default(*found, settings);
            if (const problem wrong = std::visit(entry_reader{settings, node}, found->kind)) {
                fault(path, line, *wrong);
            }
        }
    }

    void fault(std::string key, std::size_t line, std::string message) {
        faults.push_back({std::move(key), line, std::move(message)});
    }

    bool is_faulty(std::string_view key) const {
        return std::any_of(faults.begin(), faults.end(),
                           [&](const settings_error& each) { return each.key == key; });
    }
};

} // namespace

tl::expected<daemon_settings, settings_errors> parse_settings(std::string_view text) {
    reader result;
    try {
        result.read(toml::parse(text));
    } catch (const toml::parse_error& error) {
        return tl::unexpected(
            settings_errors{{"", error.source().begin.line, std::string(error.description())}});
    }
    result.fill_missing();
    result.check_contradictions();
    if (result.faults.empty()) {
        return std::move(result.settings);
    }
    std::stable_sort(result.faults.begin(), result.faults.end(),
                     [](const settings_error& a, const settings_error& b) { return a.line < b.line; });
    return tl::unexpected(std::move(result.faults));
}

tl::expected<daemon_settings, settings_errors> load_settings(const std::filesystem::path& file) {
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return tl::unexpected(settings_errors{{"", 0, "the file cannot be read or is empty"}});
    }
    return parse_settings(text.str());
}

std::string to_string(const settings_error& fault, std::string_view file) {
    std::string text(file);
    if (fault.line != 0) {
        text += ":" + std::to_string(fault.line);
    }
    if (!fault.key.empty()) {
        text += ": " + fault.key;
    }
    return text + ": " + fault.message;
}

} // namespace boragehollow::settings
