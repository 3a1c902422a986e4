#include "boragehollow/codec/change_json.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/config/names.hpp"

#include <optional>
#include <string_view>
#include <utility>

namespace boragehollow::codec {

namespace {

json with_expected(json item, const std::optional<config::revision>& expected) {
    if (expected) {
        item["expected_revision"] = expected->value;
    }
    return item;
}

std::optional<config::revision> read_expected(object_reader& reader) {
    if (!reader.has("expected_revision")) {
        return std::nullopt;
    }
    config::revision expected;
    reader.optional("expected_revision", expected);
    return expected;
}

void read_verdict(object_reader& reader, config::verdict& target) {
    std::string decision;
    reader.required("verdict", decision);
    if (decision == "accepted") {
        target = config::accepted{};
        return;
    }
    if (decision != "rejected") {
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
    return std::visit(common::overloaded{
                          [](const config::put_operation& put) {
                              return with_expected(json{{"put", to_json(put.value)}}, put.expected);
                          },
                          [](const config::delete_operation& removal) {
                              return with_expected(json{{"delete", to_json(removal.key)}}, removal.expected);
                          },
                          [](const config::activate_schema_operation& activation) {
                              return json{{"activate_schema", activation.schema}};
                          },
                      },
                      value);
}

json to_json(const config::change& value) {
    json operations = json::array();
    for (const config::operation& step : value.operations) {
        operations.push_back(to_json(step));
    }
    return {{"change_id", value.change_id},
            {"author", value.author},
            {"schema", value.schema},
            {"operations", std::move(operations)}};
}

json to_json(const config::verdict& value) {
    const auto* reason = std::get_if<config::rejected>(&value);
    if (reason == nullptr) {
        return {{"verdict", "accepted"}};
    }
    json result{{"verdict", "rejected"},
                {"reason", config::to_string(reason->reason)},
                {"detail", reason->detail},
                {"field", reason->field}};
    if (reason->resource) {
        result["resource"] = to_json(*reason->resource);
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

void read_value(const json& value, const std::string& path, config::operation& target, json_errors& faults) {
    object_reader reader(value, path, faults);
    const int actions = static_cast<int>(reader.has("put")) + static_cast<int>(reader.has("delete")) +
                        static_cast<int>(reader.has("activate_schema"));
    if (value.is_object() && actions != 1) {
        faults.push_back({json_error_kind::missing_field, path,
                          "must have exactly one of put, delete and activate_schema"});
        return;
    }
    if (reader.has("put")) {
        config::put_operation put;
        reader.optional("put", put.value);
        put.expected = read_expected(reader);
        target = std::move(put);
    } else if (reader.has("delete")) {
        config::delete_operation removal;
        reader.optional("delete", removal.key);
        removal.expected = read_expected(reader);
        target = std::move(removal);
    } else {
        config::activate_schema_operation activation;
        reader.optional("activate_schema", activation.schema);
        target = activation;
    }
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::change& target, json_errors& faults) {
    object_reader reader(value, path, faults);
    reader.required("change_id", target.change_id);
    reader.optional("author", target.author);
    reader.optional("schema", target.schema);
    const json* operations = reader.take("operations");
    if (value.is_object() && operations == nullptr) {
        reader.fail(json_error_kind::missing_field, "operations", "is required");
    }
    const std::string list = join_path(path, "operations");
    if (operations != nullptr && expect_array(*operations, list, faults)) {
        for (std::size_t i = 0; i < operations->size(); ++i) {
            read_value((*operations)[i], list + "[" + std::to_string(i) + "]",
                       target.operations.emplace_back(), faults);
        }
    }
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::verdict& target, json_errors& faults) {
    object_reader reader(value, path, faults);
    read_verdict(reader, target);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::change_outcome& target,
                json_errors& faults) {
    object_reader reader(value, path, faults);
    reader.required("change_id", target.change_id);
    reader.required("author", target.author);
    reader.required("revision", target.at);
    read_verdict(reader, target.result);
    reader.finish();
}

} // namespace boragehollow::codec
