#include "boragehollow/cli/render.hpp"

#include "boragehollow/config/names.hpp"

#include <algorithm>
#include <cstddef>
#include <initializer_list>

namespace boragehollow::cli {

namespace {

using codec::json;
using table_rows = std::vector<std::vector<std::string>>;

std::string printable(std::string text) {
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == '\x7f'; }, '?');
    return text;
}

/// Text of one field; empty when the field is missing.
std::string cell(const json& object, const char* field) {
    if (!object.is_object() || !object.contains(field) || object.at(field).is_null()) {
        return {};
    }
    const json& value = object.at(field);
    return value.is_string() ? value.get<std::string>() : codec::dump_json(value);
}

std::vector<std::string> cells(const json& object, std::initializer_list<const char*> fields) {
    std::vector<std::string> row;
    row.reserve(fields.size());
    for (const char* field : fields) {
        row.push_back(cell(object, field));
    }
    return row;
}

const json& list_field(const json& body, const char* field) {
    static const json none = json::array();
    return body.is_object() && body.contains(field) && body.at(field).is_array() ? body.at(field) : none;
}

/// Most significant fields of a resource, for the SUMMARY column.
std::string summary(const json& resource) {
    const std::string kind = cell(resource, "kind");
    if (kind == "route") {
        const std::string host = cell(resource, "host");
        return (host.empty() ? "*" : host) + cell(resource, "path_prefix") + " -> " +
               cell(resource, "service");
    }
    if (kind == "service_policy" && resource.contains("balancing")) {
        return cell(resource.at("balancing"), "kind");
    }
    return cell(resource, "service") + " " + cell(resource, "labels");
}

std::vector<std::string> resource_row(const json& stored) {
    static const json none = json::object();
    const json& resource = stored.is_object() && stored.contains("resource") ? stored.at("resource") : none;
    return {cell(resource, "kind"), cell(resource, "name"), cell(stored, "revision"), summary(resource)};
}

} // namespace

std::string render_table(const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += printable(row[i]) + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string render_outcome(const config::change_outcome& outcome) {
    const std::string at =
        " at revision " + std::to_string(outcome.at.value) + " (change " + printable(outcome.change_id) + ")";
    const auto* reason = std::get_if<config::rejected>(&outcome.result);
    if (reason == nullptr) {
        return "accepted" + at + "\n";
    }
    std::string text = "rejected" + at + ": " + std::string(config::to_string(reason->reason));
    if (reason->resource) {
        text += ", " + std::string(config::to_string(reason->resource->kind)) + " " + reason->resource->name;
    }
    if (!reason->field.empty()) {
        text += ", " + reason->field;
    }
    return printable(text + ": " + reason->detail) + "\n";
}

std::string render_resources(const json& body) {
    table_rows rows{{"KIND", "NAME", "REVISION", "SUMMARY"}};
    if (body.is_object() && body.contains("resource")) {
        rows.push_back(resource_row(body));
    }
    for (const json& stored : list_field(body, "resources")) {
        rows.push_back(resource_row(stored));
    }
    return render_table(rows);
}

std::string render_status(const json& body) {
    table_rows rows;
    for (const char* field :
         {"host", "failure_domain", "state", "version", "digest", "active_schema", "resources"}) {
        rows.push_back({field, cell(body, field)});
    }
    table_rows domains{{"FAILURE DOMAIN", "DAEMONS", "IN FORCE", "REVISION"}};
    for (const json& domain : list_field(body, "in_force")) {
        domains.push_back(cells(domain, {"failure_domain", "daemons", "at_revision", "revision"}));
    }
    return render_table(rows) + "\n" + render_table(domains);
}

std::string render_accounts(const json& body) {
    table_rows rows{{"NAME", "PRIORITY", "RATE", "LIMIT", "BURST", "ANSWERED", "NOT_RUN", "UNKNOWN",
                     "REVOKED", "OVER_LIMIT", "KEYS"}};
    for (const json& account : list_field(body, "accounts")) {
        static const json none = json::object();
        const json& calls = account.is_object() && account.contains("calls") ? account.at("calls") : none;
        std::vector<std::string> row =
            cells(account, {"name", "priority", "rate_in_use", "rate_limit", "burst"});
        for (std::string& text :
             cells(calls, {"answered", "not_run", "unknown", "key_revoked", "over_limit"})) {
            row.push_back(std::move(text));
        }
        std::string keys;
        for (const json& key : list_field(account, "keys")) {
            keys += (keys.empty() ? "" : ",") + (key.is_string() ? key.get<std::string>() : std::string());
        }
        row.push_back(std::move(keys));
        rows.push_back(std::move(row));
    }
    return "version " + cell(body, "version") + "\n" + render_table(rows);
}

std::string render_timeline(const json& body) {
    table_rows rows{{"TIME", "HOST", "LEVEL", "EVENT", "COMPONENT", "MESSAGE"}};
    for (const json& event : list_field(body, "events")) {
        rows.push_back(cells(event, {"time", "host", "level", "event", "component", "message"}));
    }
    return render_table(rows);
}

std::string render_watch_line(const json& line) {
    if (line.is_object() && line.contains("snapshot")) {
        const json& snapshot = line.at("snapshot");
        return "snapshot of version " + cell(snapshot, "version") + "\n" + render_resources(snapshot);
    }
    std::string text = cell(line, "revision") + " " + cell(line, "verdict");
    for (const char* field : {"reason", "author", "change_id", "field", "detail"}) {
        const std::string part = cell(line, field);
        text += part.empty() ? "" : std::string(" ") + field + "=" + part;
    }
    for (const json& step : list_field(line, "operations")) {
        for (const char* action : {"put", "delete"}) {
            if (step.is_object() && step.contains(action)) {
                text += std::string(" ") + action + "=" + cell(step.at(action), "kind") + "/" +
                        cell(step.at(action), "name");
            }
        }
    }
    return printable(text) + "\n";
}

} // namespace boragehollow::cli
