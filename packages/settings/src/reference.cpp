#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/settings/load.hpp"
#include "entries.hpp"

namespace boragehollow::settings {

namespace {

struct entry_text {
    std::string type;
    std::string fallback;
};

std::string range(const std::string& least, const std::string& most) {
    return least + " to " + most;
}

std::string code(std::string_view text) {
    return "`" + std::string(text) + "`";
}

entry_text describe(const entry_kind& kind) {
    const auto visitor = common::overloaded{
        [](const name_entry&) {
            return entry_text{"name", "required"};
        },
        [](const endpoint_entry& each) {
            return entry_text{"`ADDRESS:PORT`", each.fallback.empty()
                                                    ? "required"
                                                    : code("\"" + std::string(each.fallback) + "\"")};
        },
        [](const optional_name_entry&) {
            return entry_text{"name", "none"};
        },
        [](const optional_endpoint_entry&) {
            return entry_text{"`ADDRESS:PORT`", "none"};
        },
        [](const endpoint_list_entry&) {
            return entry_text{"list of `ADDRESS:PORT`", "`[]`"};
        },
        [](const size_entry& each) {
            return entry_text{std::string(each.unit) + ", " +
                                  range(std::to_string(each.least), std::to_string(each.most)),
                              code(std::to_string(each.fallback))};
        },
        [](const rate_entry& each) {
            std::ostringstream limits;
            limits << each.least << " to " << each.most;
            std::ostringstream fallback;
            fallback << each.fallback;
            return entry_text{std::string(each.unit) + ", " + limits.str(), code(fallback.str())};
        },
        [](const count_entry& each) {
            return entry_text{"number, " + range(std::to_string(each.least), std::to_string(each.most)),
                              code(std::to_string(each.fallback))};
        },
        [](const duration_entry& each) {
            return entry_text{
                "duration, " + range(common::format_duration(each.least), common::format_duration(each.most)),
                code("\"" + common::format_duration(each.fallback) + "\"")};
        },
        [](const optional_duration_entry& each) {
            return entry_text{
                "duration, " + range(common::format_duration(each.least), common::format_duration(each.most)),
                "none"};
        },
        [](const flag_entry& each) {
            return entry_text{"`true` or `false`", each.fallback ? "`true`" : "`false`"};
        },
        [](const choice_entry& each) {
            std::string words;
            for (const std::string_view word : each.words) {
                words += words.empty() ? "" : ", ";
                words += code("\"" + std::string(word) + "\"");
            }
            return entry_text{words, code("\"" + std::string(each.words.at(each.fallback)) + "\"")};
        },
    };
    return std::visit(visitor, kind);
}

} // namespace

std::string render_reference() {
    std::string text =
        "# Settings of the daemon\n\n"
        "`boragehollowd --settings FILE` reads a TOML file. Durations are strings with a unit (`ms`, "
        "`s`, `m`, `h`);\naddresses are IP numbers with a port, IPv6 in brackets. The daemon "
        "reports all faults of the file at once, each with its\nkey and line, and does not start "
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
                    described.fallback + " | " + std::string(item.description) + " |\n";
        }
    }
    return text;
}

} // namespace boragehollow::settings
