#include "boragehollow/codec/json_reader.hpp"

#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/config/validation.hpp"

#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace boragehollow::codec {

namespace {

/// Keeps a hostile field name from filling an error message.
constexpr std::size_t max_quoted_length = 64;

/// A body of 1 MB has room for 100,000 faulty fields, whose report would be many times its size.
constexpr std::size_t max_faults = 100;

void add(json_errors& faults, json_error_kind kind, const std::string& path, std::string detail) {
    if (faults.size() >= max_faults) {
        return;
    }
    faults.push_back({kind, path, std::move(detail)});
}

/// Finds fields that stand in one object twice, which the library would silently merge.
class repeated_field_finder {
public:
    bool operator()(int /*depth*/, json::parse_event_t event, const json& parsed) {
        using kind = json::parse_event_t;
        if (event == kind::object_start) {
            m_open.emplace_back();
        }
        if (event == kind::object_end) {
            m_open.pop_back();
        }
        if (event == kind::key && !m_open.back().insert(parsed.get_ref<const std::string&>()).second) {
            m_repeated = parsed.get<std::string>();
        }
        return true;
    }

    const std::optional<std::string>& repeated() const { return m_repeated; }

private:
    std::vector<std::set<std::string>> m_open;
    std::optional<std::string> m_repeated;
};

template <class Unsigned>
void read_unsigned(const json& value, const std::string& path, Unsigned& target, json_errors& faults) {
    if (!value.is_number()) {
        add(faults, json_error_kind::wrong_type, path, "must be a whole number");
        return;
    }
    constexpr Unsigned highest = std::numeric_limits<Unsigned>::max();
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > highest) {
        add(faults, json_error_kind::out_of_range, path,
            "must be a whole number from 0 to " + std::to_string(highest));
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

std::string to_string(const json_error& fault) {
    return fault.field.empty() ? fault.detail : fault.field + ": " + fault.detail;
}

tl::expected<json, json_error> parse_json(std::string_view text) {
    repeated_field_finder finder;
    try {
        json value = json::parse(text, [&finder](int depth, json::parse_event_t event, json& parsed) {
            return finder(depth, event, parsed);
        });
        if (finder.repeated()) {
            return tl::unexpected(json_error{json_error_kind::syntax,
                                             config::truncate_utf8(*finder.repeated(), max_quoted_length),
                                             "the field stands in its object twice"});
        }
        return value;
    } catch (const json::exception& error) {
        // The library's text names line and column, and has its own prefix in brackets.
        const std::string_view what = error.what();
        const std::size_t prefix = what.find("] ");
        const std::string_view detail = prefix == std::string_view::npos ? what : what.substr(prefix + 2);
        return tl::unexpected(json_error{json_error_kind::syntax, "", config::truncate_utf8(detail, 256)});
    }
}

std::string dump_json(const json& value, int indent) {
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

void read_value(const json& value, const std::string& path, bool& target, json_errors& faults) {
    if (!value.is_boolean()) {
        add(faults, json_error_kind::wrong_type, path, "must be true or false");
        return;
    }
    target = value.get<bool>();
}

void read_value(const json& value, const std::string& path, double& target, json_errors& faults) {
    if (!value.is_number()) {
        add(faults, json_error_kind::wrong_type, path, "must be a number");
        return;
    }
    target = value.get<double>();
}

void read_value(const json& value, const std::string& path, std::uint32_t& target, json_errors& faults) {
    read_unsigned(value, path, target, faults);
}

void read_value(const json& value, const std::string& path, std::uint64_t& target, json_errors& faults) {
    read_unsigned(value, path, target, faults);
}

void read_value(const json& value, const std::string& path, std::string& target, json_errors& faults) {
    if (!value.is_string()) {
        add(faults, json_error_kind::wrong_type, path, "must be a string");
        return;
    }
    target = value.get<std::string>();
}

void read_value(const json& value, const std::string& path, std::chrono::milliseconds& target,
                json_errors& faults) {
    if (!value.is_string()) {
        add(faults, json_error_kind::wrong_type, path, "must be a string such as \"250ms\" or \"10s\"");
        return;
    }
    const auto parsed = common::parse_duration(value.get_ref<const std::string&>());
    if (!parsed) {
        add(faults, json_error_kind::bad_value, path, parsed.error());
        return;
    }
    target = *parsed;
}

void read_value(const json& value, const std::string& path, std::vector<std::string>& target,
                json_errors& faults) {
    if (!expect_array(value, path, faults)) {
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < value.size(); ++i) {
        read_value(value[i], path + "[" + std::to_string(i) + "]", target.emplace_back(), faults);
    }
}

void read_value(const json& value, const std::string& path, std::map<std::string, std::string>& target,
                json_errors& faults) {
    if (!value.is_object()) {
        add(faults, json_error_kind::wrong_type, path, "must be an object");
        return;
    }
    target.clear();
    for (const auto& [key, text] : value.items()) {
        read_value(text, join_path(path, config::truncate_utf8(key, max_quoted_length)), target[key], faults);
    }
}

std::string join_path(const std::string& path, std::string_view field) {
    return path.empty() ? std::string(field) : path + "." + std::string(field);
}

bool expect_array(const json& value, const std::string& path, json_errors& faults) {
    if (value.is_array()) {
        return true;
    }
    add(faults, json_error_kind::wrong_type, path, "must be an array");
    return false;
}

object_reader::object_reader(const json& value, std::string path, json_errors& faults)
    : m_value(value), m_path(std::move(path)), m_faults(faults) {
    if (!m_value.is_object()) {
        add(m_faults, json_error_kind::wrong_type, m_path, "must be an object");
    }
}

bool object_reader::has(std::string_view field) const {
    return m_value.is_object() && m_value.contains(field);
}

const json* object_reader::take(std::string_view field) {
    if (!has(field)) {
        return nullptr;
    }
    m_known.emplace(field);
    return &m_value.at(std::string(field));
}

void object_reader::fail(json_error_kind kind, std::string_view field, std::string detail) {
    add(m_faults, kind, join_path(m_path, field), std::move(detail));
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
        if (!m_known.contains(item.key())) {
            fail(json_error_kind::unknown_field, config::truncate_utf8(item.key(), max_quoted_length),
                 "is not known");
        }
    }
}

} // namespace boragehollow::codec
