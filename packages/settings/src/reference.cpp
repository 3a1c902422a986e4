#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/settings/load.hpp"
#include "entries.hpp"

namespace boragehollow::settings {

namespace {

struct entry_text {
    std::string type;
    std::string default_value;
};

std::string range(const std::string& min, const std::string& max) {
    return min + " to " + max;
}

std::string code(std::string_view text) {
    return "`" + std::string(text) + "`";
}

entry_text describe(const entry_kind& kind) {
    const auto visitor = common::overloaded{
        [](const name_entry&) {
            return entry_text{"name", "required"};
        },
        [](const platform_name_entry&) {
            return entry_text{"text", "required"};
        },
        [](const endpoint_entry& each) {
            return entry_text{"`ADDRESS:PORT`", each.default_value.empty()
                                                    ? "required"
                                                    : code("\"" + std::string(each.default_value) + "\"")};
        },
        [](const optional_name_entry&) {
            return entry_text{"text", "none"};
        },
        [](const optional_endpoint_entry&) {
            return entry_text{"`ADDRESS:PORT`", "none"};
        },
        [](const text_entry&) {
            return entry_text{"text", "empty"};
        },
        [](const endpoint_list_entry&) {
            return entry_text{"list of `ADDRESS:PORT`", "`[]`"};
        },
        [](const size_entry& each) {
            return entry_text{std::string(each.unit) + ", " +
                                  range(std::to_string(each.min), std::to_string(each.max)),
                              code(std::to_string(each.default_value))};
        },
        [](const real_entry& each) {
            std::ostringstream limits;
            limits << each.min << " to " << each.max;
            std::ostringstream default_value;
            default_value << each.default_value;
            return entry_text{std::string(each.unit) + ", " + limits.str(), code(default_value.str())};
        },
        [](const count_entry& each) {
            return entry_text{"number, " + range(std::to_string(each.min), std::to_string(each.max)),
                              code(std::to_string(each.default_value))};
        },
        [](const duration_entry& each) {
            return entry_text{"duration, " +
                                  range(common::format_duration(each.min), common::format_duration(each.max)),
                              code("\"" + common::format_duration(each.default_value) + "\"")};
        },
        [](const optional_duration_entry& each) {
            return entry_text{"duration, " +
                                  range(common::format_duration(each.min), common::format_duration(each.max)),
                              "none"};
        },
        [](const flag_entry& each) {
            return entry_text{"`true` or `false`", each.default_value ? "`true`" : "`false`"};
        },
        [](const choice_entry& each) {
            std::string values;
            for (const std::string_view value : each.values) {
                values += values.empty() ? "" : ", ";
                values += code("\"" + std::string(value) + "\"");
            }
            return entry_text{values, code("\"" + std::string(each.values.at(each.default_value)) + "\"")};
        },
    };
    return std::visit(visitor, kind);
}

} // namespace

std::string render_reference() {
    std::string text =
        "# Settings of the daemon\n\n"
        "`boragehollowd --settings FILE` reads a TOML file. Durations are strings with a unit (`ms`, "
        "`s`, `m`, `h`);\naddresses are IP addresses with a port, IPv6 in brackets. The daemon "
        "reports all errors of the file at once, each with its\nkey and line, and does not start "
        "while one is left.\n";
    for (const section& each : sections()) {
        text += "\n## `[" + std::string(each.name) + "]`\n\n" + std::string(each.description) + "\n\n";
        text += "| key | value | default | meaning |\n|---|---|---|---|\n";
        const std::string prefix = std::string(each.name) + ".";
        for (const entry& item : entries()) {
            if (!item.key.starts_with(prefix)) {
                continue;
            }
            const entry_text described = describe(item.kind);
            text += "| " + code(item.key.substr(prefix.size())) + " | " + described.type + " | " +
                    described.default_value + " | " + std::string(item.description) + " |\n";
        }
    }
    return text;
}

} // namespace boragehollow::settings
