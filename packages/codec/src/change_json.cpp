#include "boragehollow/codec/change_json.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/config/names.hpp"

#include <optional>
#include <string_view>
#include <utility>

namespace boragehollow::codec {

namespace {

json with_expected_revision(json item, const std::optional<config::revision>& expected) {
    if (expected) {
        item["expected_revision"] = expected->value;
    }
    return item;
}

std::optional<config::revision> read_expected_revision(object_reader& reader) {
    if (!reader.has("expected_revision")) {
        return std::nullopt;
    }
    config::revision expected;
    reader.optional("expected_revision", expected);
    return expected;
}

void read_verdict(object_reader& reader, config::verdict& target) {
    std::string verdict;
    reader.required("verdict", verdict);
    if (verdict == "accepted") {
        target = config::accepted{};
        return;
    }
    if (verdict != "rejected") {
        reader.fail(json_error_kind::bad_value, "verdict", "must be accepted or rejected");
        return;
    }
    config::rejected result;
    reader.required_name("reason", result.reason, config::parse_rejection_reason);
    reader.optional("detail", result.detail);
    reader.optional("field", result.field);
    if (reader.has("resource")) {
        reader.optional("resource", result.resource.emplace());
    }
    target = std::move(result);
}

} // namespace

json to_json(const config::operation& value) {
    return std::visit(
        common::overloaded{
            [](const config::put_operation& put) {
                return with_expected_revision(json{{"put", to_json(put.value)}}, put.expected);
            },
            [](const config::delete_operation& removal) {
                return with_expected_revision(json{{"delete", to_json(removal.key)}}, removal.expected);
            },
            [](const config::activate_schema_operation& activation) {
                return json{{"activate_schema", activation.schema}};
            },
        },
        value);
}

json to_json(const config::change& value) {
    json operations = json::array();
    for (const config::operation& operation : value.operations) {
        operations.push_back(to_json(operation));
    }
    return {{"change_id", value.change_id},
            {"author", value.author},
            {"schema", value.schema},
            {"operations", std::move(operations)}};
}

json to_json(const config::verdict& value) {
    const auto* rejection = std::get_if<config::rejected>(&value);
    if (rejection == nullptr) {
        return {{"verdict", "accepted"}};
    }
    json result{{"verdict", "rejected"},
                {"reason", config::to_string(rejection->reason)},
                {"detail", rejection->detail},
                {"field", rejection->field}};
    if (rejection->resource) {
        result["resource"] = to_json(*rejection->resource);
    }
    return result;
}

json to_json(const config::change_outcome& value) {
    json result = to_json(value.result);
    result["change_id"] = value.change_id;
    result["author"] = value.author;
    result["revision"] = value.at.value;
    return result;
}

void read_value(const json& value, const std::string& path, config::operation& target, json_errors& errors) {
    object_reader reader(value, path, errors);
    const int action_count = static_cast<int>(reader.has("put")) + static_cast<int>(reader.has("delete")) +
                             static_cast<int>(reader.has("activate_schema"));
    if (value.is_object() && action_count != 1) {
        errors.push_back({json_error_kind::missing_field, path,
                          "must have exactly one of put, delete and activate_schema"});
        return;
    }
    if (reader.has("put")) {
        config::put_operation put;
        reader.optional("put", put.value);
        put.expected = read_expected_revision(reader);
        target = std::move(put);
    } else if (reader.has("delete")) {
        config::delete_operation removal;
        reader.optional("delete", removal.key);
        removal.expected = read_expected_revision(reader);
        target = std::move(removal);
    } else {
        config::activate_schema_operation activation;
        reader.optional("activate_schema", activation.schema);
        target = activation;
    }
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::change& target, json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.required("change_id", target.change_id);
    reader.optional("author", target.author);
    reader.optional("schema", target.schema);
    const json* operations = reader.take("operations");
    if (value.is_object() && operations == nullptr) {
        reader.fail(json_error_kind::missing_field, "operations", "is required");
    }
    const std::string operations_path = join_path(path, "operations");
    if (operations != nullptr && expect_array(*operations, operations_path, errors)) {
        for (std::size_t i = 0; i < operations->size(); ++i) {
            read_value((*operations)[i], operations_path + "[" + std::to_string(i) + "]",
                       target.operations.emplace_back(), errors);
        }
    }
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::verdict& target, json_errors& errors) {
    object_reader reader(value, path, errors);
    read_verdict(reader, target);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::change_outcome& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.required("change_id", target.change_id);
    reader.required("author", target.author);
    reader.required("revision", target.at);
    read_verdict(reader, target.result);
    reader.finish();
}

} // namespace boragehollow::codec
