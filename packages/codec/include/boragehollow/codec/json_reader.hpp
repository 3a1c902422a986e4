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

/// Reads JSON objects field by field and collects every fault with the path of its field.
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
std::string to_string(const json_error& fault);

/// Parses a document. Fails for bad syntax, bad UTF-8 and for an object that names a field twice.
tl::expected<json, json_error> parse_json(std::string_view text);

/// Text of a document; bytes that are not UTF-8 are replaced. A negative indent gives one line.
std::string dump_json(const json& value, int indent = -1);

void read_value(const json& value, const std::string& path, bool& target, json_errors& faults);
void read_value(const json& value, const std::string& path, double& target, json_errors& faults);
void read_value(const json& value, const std::string& path, std::uint32_t& target, json_errors& faults);
void read_value(const json& value, const std::string& path, std::uint64_t& target, json_errors& faults);
void read_value(const json& value, const std::string& path, std::string& target, json_errors& faults);
void read_value(const json& value, const std::string& path, std::chrono::milliseconds& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, std::vector<std::string>& target,
                json_errors& faults);
void read_value(const json& value, const std::string& path, std::map<std::string, std::string>& target,
                json_errors& faults);

std::string join_path(const std::string& path, std::string_view field);

/// Adds a fault unless `value` is an array.
bool expect_array(const json& value, const std::string& path, json_errors& faults);

/// Reads one object. `finish` must follow the last field: it reports the fields that nobody asked for.
class object_reader {
public:
    object_reader(const json& value, std::string path, json_errors& faults);

    /// Leaves `target` as it is when the field is absent.
    template <class T>
    void optional(std::string_view field, T& target) {
        if (const json* found = take(field)) {
            read_value(*found, join_path(m_path, field), target, m_faults);
        }
    }

    template <class T>
    void required(std::string_view field, T& target) {
        if (require(field)) {
            optional(field, target);
        }
    }

    /// Reads the name of an enumeration value with `parse`, which returns an optional.
    template <class T, class Parse>
    void optional_name(std::string_view field, T& target, Parse parse) {
        if (!has(field)) {
            return;
        }
        std::string name;
        const std::size_t faults_before = m_faults.size();
        optional(field, name);
        if (m_faults.size() != faults_before) {
            return;
        }
        const auto known = parse(name);
        if (!known) {
            fail(json_error_kind::bad_value, field, "is not one of the known names");
            return;
        }
        target = *known;
    }

    template <class T, class Parse>
    void required_name(std::string_view field, T& target, Parse parse) {
        if (require(field)) {
            optional_name(field, target, parse);
        }
    }

    bool has(std::string_view field) const;

    /// The field's value, or null when it is absent; it counts as known from now on.
    const json* take(std::string_view field);

    void fail(json_error_kind kind, std::string_view field, std::string detail);
    void finish();

    const std::string& path() const { return m_path; }

private:
    bool require(std::string_view field);

    const json& m_value;
    std::string m_path;
    json_errors& m_faults;
    std::set<std::string, std::less<>> m_known;
};

} // namespace boragehollow::codec
