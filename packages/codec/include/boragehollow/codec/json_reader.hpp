#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Reads JSON objects field by field and collects all errors, each with the path of its field.
namespace boragehollow::codec {

using nlohmann::json;

enum class json_error_kind { syntax, wrong_type, unknown_field, missing_field, out_of_range, bad_value };

struct json_error {
    json_error_kind kind = json_error_kind::syntax;
    std::string field; ///< Path such as `operations[2].put.deadline`; empty for the whole document.
    std::string detail;

    bool operator==(const json_error&) const = default;
};

using json_errors = std::vector<json_error>;

std::string_view to_string(json_error_kind kind);
std::string to_string(const json_error& error);

/// Bounds on a JSON text from outside this process.
struct json_limits {
    /// Copying and comparing a value recurses once per level, so that deep nesting overflows the stack. The
    /// documents and announcements of the platform have fewer than ten levels.
    std::size_t max_depth = 32;
    std::size_t max_bytes = 64ULL * 1024 * 1024;
};

/// Parses a text from outside. Fails on invalid syntax, invalid UTF-8 and a text that exceeds the limits; of
/// duplicate fields in an object, the last one counts.
tl::expected<json, json_error> parse_bounded_json(std::string_view text, const json_limits& limits = {});

/// Like `parse_bounded_json`, but also fails on duplicate fields in an object.
tl::expected<json, json_error> parse_json(std::string_view text);

/// Serializes a document and replaces invalid UTF-8. A negative indent produces a single line.
std::string dump_json(const json& value, int indent = -1);

/// Each overload reads `value` into `target`. If the type is wrong or the value is invalid, it adds an error
/// for `path` instead.
void read_value(const json& value, const std::string& path, bool& target, json_errors& errors);
void read_value(const json& value, const std::string& path, double& target, json_errors& errors);
void read_value(const json& value, const std::string& path, std::uint32_t& target, json_errors& errors);
void read_value(const json& value, const std::string& path, std::uint64_t& target, json_errors& errors);
void read_value(const json& value, const std::string& path, std::string& target, json_errors& errors);
void read_value(const json& value, const std::string& path, std::chrono::milliseconds& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, std::vector<std::string>& target,
                json_errors& errors);
void read_value(const json& value, const std::string& path, std::map<std::string, std::string>& target,
                json_errors& errors);

std::string join_path(const std::string& path, std::string_view field);

/// Adds an error and returns false if `value` is not an array.
bool expect_array(const json& value, const std::string& path, json_errors& errors);

/// Reads one object. `finish` must be called after the last field: it reports the fields that were not read.
class object_reader {
public:
    object_reader(const json& value, std::string path, json_errors& errors);

    /// Leaves `target` unchanged if the field is absent.
    template <class T>
    void optional(std::string_view field, T& target) {
        if (const json* found = take(field)) {
            read_value(*found, join_path(m_path, field), target, m_errors);
        }
    }

    template <class T>
    void required(std::string_view field, T& target) {
        if (require(field)) {
            optional(field, target);
        }
    }

    /// Reads an enumeration value by name; `parse` returns an optional.
    template <class T, class Parse>
    void optional_name(std::string_view field, T& target, Parse parse) {
        if (!has(field)) {
            return;
        }
        std::string name;
        const std::size_t errors_before = m_errors.size();
        optional(field, name);
        if (m_errors.size() != errors_before) {
            return;
        }
        const auto parsed = parse(name);
        if (!parsed) {
            fail(json_error_kind::bad_value, field, "is not a known name");
            return;
        }
        target = *parsed;
    }

    template <class T, class Parse>
    void required_name(std::string_view field, T& target, Parse parse) {
        if (require(field)) {
            optional_name(field, target, parse);
        }
    }

    bool has(std::string_view field) const;

    /// Returns the field's value, or null if it is absent, and marks the field as read.
    const json* take(std::string_view field);

    /// Records an error; reading goes on.
    void fail(json_error_kind kind, std::string_view field, std::string detail);
    void finish();

    const std::string& path() const { return m_path; }

private:
    bool require(std::string_view field);

    const json& m_value;
    std::string m_path;
    json_errors& m_errors;
    std::set<std::string, std::less<>> m_read_fields;
};

} // namespace boragehollow::codec
