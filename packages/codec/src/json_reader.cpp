#include "boragehollow/codec/json_reader.hpp"

#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/common/truncate.hpp"

#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace boragehollow::codec {

namespace {

/// Limits how much of a field name from untrusted input is quoted in an error message.
constexpr std::size_t max_quoted_length = 64;

/// A 1 MB body can hold 100,000 invalid fields; reporting them all would take many times its size.
constexpr std::size_t max_errors = 100;

void add_error(json_errors& errors, json_error_kind kind, const std::string& path, std::string detail) {
    if (errors.size() >= max_errors) {
        return;
    }
    errors.push_back({kind, path, std::move(detail)});
}

/// Detects duplicate fields of an object, which the JSON library accepts without an error.
class duplicate_field_detector {
public:
    bool operator()(int /*depth*/, json::parse_event_t event, const json& parsed) {
        using kind = json::parse_event_t;
        if (event == kind::object_start) {
            m_open_objects.emplace_back();
        }
        if (event == kind::object_end) {
            m_open_objects.pop_back();
        }
        if (event == kind::key &&
            !m_open_objects.back().insert(parsed.get_ref<const std::string&>()).second) {
            m_duplicate = parsed.get<std::string>();
        }
        return true;
    }

    const std::optional<std::string>& duplicate() const { return m_duplicate; }

private:
    std::vector<std::set<std::string>> m_open_objects;
    std::optional<std::string> m_duplicate;
};

/// Skips a string that begins before `position`; returns the position after its closing quote.
std::size_t skip_string(std::string_view text, std::size_t position) {
    while (position < text.size() && text[position] != '"') {
        position += text[position] == '\\' ? 2 : 1;
    }
    return position + 1;
}

/// Runs before the parser: the nesting is counted without building a value. Up to the first syntax error, at
/// which the parser stops, the count equals the depth of the parsed value.
std::optional<json_error> find_exceeded_limit(std::string_view text, const json_limits& limits) {
    if (text.size() > limits.max_bytes) {
        return json_error{json_error_kind::out_of_range, "",
                          "the text has more than " + std::to_string(limits.max_bytes) + " bytes"};
    }
    std::size_t depth = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        const char current = text[position++];
        if (current == '"') {
            position = skip_string(text, position);
            continue;
        }
        if (current == '}' || current == ']') {
            depth -= depth > 0 ? 1 : 0;
            continue;
        }
        if (current != '{' && current != '[') {
            continue;
        }
        if (++depth > limits.max_depth) {
            return json_error{json_error_kind::out_of_range, "",
                              "the nesting exceeds " + std::to_string(limits.max_depth) + " levels"};
        }
    }
    return std::nullopt;
}

template <class Unsigned>
void read_unsigned(const json& value, const std::string& path, Unsigned& target, json_errors& errors) {
    if (!value.is_number()) {
        add_error(errors, json_error_kind::wrong_type, path, "must be a whole number");
        return;
    }
    constexpr Unsigned max_value = std::numeric_limits<Unsigned>::max();
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_value) {
        add_error(errors, json_error_kind::out_of_range, path,
                  "must be a whole number from 0 to " + std::to_string(max_value));
        return;
    }
    target = value.get<Unsigned>();
}

} // namespace

std::string_view to_string(json_error_kind kind) {
    switch (kind) {
    case json_error_kind::syntax:
        return "syntax";
    case json_error_kind::wrong_type:
        return "wrong_type";
    case json_error_kind::unknown_field:
        return "unknown_field";
    case json_error_kind::missing_field:
        return "missing_field";
    case json_error_kind::out_of_range:
        return "out_of_range";
    case json_error_kind::bad_value:
        return "bad_value";
    }
    return "unknown";
}

std::string to_string(const json_error& error) {
    return error.field.empty() ? error.detail : error.field + ": " + error.detail;
}

tl::expected<json, json_error> parse_bounded_json(std::string_view text, const json_limits& limits) {
    if (auto error = find_exceeded_limit(text, limits)) {
        return tl::unexpected(std::move(*error));
    }
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return tl::unexpected(json_error{json_error_kind::syntax, "", "the text is not valid JSON"});
    }
    return value;
}

tl::expected<json, json_error> parse_json(std::string_view text) {
    if (auto error = find_exceeded_limit(text, json_limits{})) {
        return tl::unexpected(std::move(*error));
    }
    duplicate_field_detector detector;
    try {
        json value = json::parse(text, [&detector](int depth, json::parse_event_t event, json& parsed) {
            return detector(depth, event, parsed);
        });
        if (detector.duplicate()) {
            return tl::unexpected(json_error{json_error_kind::syntax,
                                             common::truncate_utf8(*detector.duplicate(), max_quoted_length),
                                             "the object has this field twice"});
        }
        return value;
    } catch (const json::exception& error) {
        // Keeps the line and column from the library's message, without its prefix in brackets.
        const std::string_view what = error.what();
        const std::size_t prefix = what.find("] ");
        const std::string_view detail = prefix == std::string_view::npos ? what : what.substr(prefix + 2);
        return tl::unexpected(json_error{json_error_kind::syntax, "", common::truncate_utf8(detail, 256)});
    }
}

std::string dump_json(const json& value, int indent) {
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

void read_value(const json& value, const std::string& path, bool& target, json_errors& errors) {
    if (!value.is_boolean()) {
        add_error(errors, json_error_kind::wrong_type, path, "must be true or false");
        return;
    }
    target = value.get<bool>();
}

void read_value(const json& value, const std::string& path, double& target, json_errors& errors) {
    if (!value.is_number()) {
        add_error(errors, json_error_kind::wrong_type, path, "must be a number");
        return;
    }
    target = value.get<double>();
}

void read_value(const json& value, const std::string& path, std::uint32_t& target, json_errors& errors) {
    read_unsigned(value, path, target, errors);
}

void read_value(const json& value, const std::string& path, std::uint64_t& target, json_errors& errors) {
    read_unsigned(value, path, target, errors);
}

void read_value(const json& value, const std::string& path, std::string& target, json_errors& errors) {
    if (!value.is_string()) {
        add_error(errors, json_error_kind::wrong_type, path, "must be a string");
        return;
    }
    target = value.get<std::string>();
}

void read_value(const json& value, const std::string& path, std::chrono::milliseconds& target,
                json_errors& errors) {
    if (!value.is_string()) {
        add_error(errors, json_error_kind::wrong_type, path, "must be a string such as \"250ms\" or \"10s\"");
        return;
    }
    const auto parsed = common::parse_duration(value.get_ref<const std::string&>());
    if (!parsed) {
        add_error(errors, json_error_kind::bad_value, path, parsed.error());
        return;
    }
    target = *parsed;
}

void read_value(const json& value, const std::string& path, std::vector<std::string>& target,
                json_errors& errors) {
    if (!expect_array(value, path, errors)) {
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < value.size(); ++i) {
        read_value(value[i], path + "[" + std::to_string(i) + "]", target.emplace_back(), errors);
    }
}

void read_value(const json& value, const std::string& path, std::map<std::string, std::string>& target,
                json_errors& errors) {
    if (!value.is_object()) {
        add_error(errors, json_error_kind::wrong_type, path, "must be an object");
        return;
    }
    target.clear();
    for (const auto& [key, text] : value.items()) {
        read_value(text, join_path(path, common::truncate_utf8(key, max_quoted_length)), target[key], errors);
    }
}

std::string join_path(const std::string& path, std::string_view field) {
    return path.empty() ? std::string(field) : path + "." + std::string(field);
}

bool expect_array(const json& value, const std::string& path, json_errors& errors) {
    if (value.is_array()) {
        return true;
    }
    add_error(errors, json_error_kind::wrong_type, path, "must be an array");
    return false;
}

object_reader::object_reader(const json& value, std::string path, json_errors& errors)
    : m_value(value), m_path(std::move(path)), m_errors(errors) {
    if (!m_value.is_object()) {
        add_error(m_errors, json_error_kind::wrong_type, m_path, "must be an object");
    }
}

bool object_reader::has(std::string_view field) const {
    return m_value.is_object() && m_value.contains(field);
}

const json* object_reader::take(std::string_view field) {
    if (!has(field)) {
        return nullptr;
    }
    m_read_fields.emplace(field);
    return &m_value.at(std::string(field));
}

void object_reader::fail(json_error_kind kind, std::string_view field, std::string detail) {
    add_error(m_errors, kind, join_path(m_path, field), std::move(detail));
}

bool object_reader::require(std::string_view field) {
    if (has(field)) {
        return true;
    }
    if (m_value.is_object()) {
        fail(json_error_kind::missing_field, field, "is required");
    }
    return false;
}

void object_reader::finish() {
    if (!m_value.is_object()) {
        return;
    }
    for (const auto& item : m_value.items()) {
        if (!m_read_fields.contains(item.key())) {
            fail(json_error_kind::unknown_field, common::truncate_utf8(item.key(), max_quoted_length),
                 "is not a known field");
        }
    }
}

} // namespace boragehollow::codec
