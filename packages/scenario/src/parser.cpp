#include "boragehollow/scenario/parser.hpp"

#include "name_check.hpp"
#include "parse_calls.hpp"
#include "parse_expectations.hpp"
#include "word_cursor.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace boragehollow::scenario {

namespace {

statement_body parse_mesh(word_cursor& words) {
    mesh_statement result;
    result.name = words.word("the mesh's name");
    words.require("domains");
    result.domains = words.names("the failure domains", {"daemons"});
    words.require("daemons");
    result.daemons_per_domain = words.number("the daemons in a domain");
    return result;
}

statement_body parse_start(word_cursor& words) {
    start_statement result;
    result.names = words.names("names of daemons, domains or 'platform'", {"nowait"});
    result.wait_until_ready = !words.accept("nowait");
    return result;
}

statement_body parse_signal(signal_kind kind, word_cursor& words) {
    return signal_statement{kind, words.names("names of daemons, domains, targets or 'platform'")};
}

statement_body parse_cut(word_cursor& words) {
    cut_statement result;
    result.first = words.word("the first side");
    result.second = words.word("the second side");
    return result;
}

statement_body parse_platform(word_cursor& words) {
    platform_statement result;
    result.mode = words.choice("fault of the platform", {"outage", "slow", "lose-answers", "restore"});
    result.delay = words.optional_duration();
    return result;
}

statement_body parse_target(word_cursor& words) {
    const std::string name = words.word("the target's name");
    if (!words.accept("on")) {
        target_fault_statement fault;
        fault.name = name;
        fault.mode =
            words.choice("fault of a target", {"drain", "slow", "lie", "shed", "die-mid-body", "restore"});
        fault.delay = words.optional_duration();
        return fault;
    }
    target_start_statement start;
    start.name = name;
    start.daemon = words.word("the daemon's name");
    words.require("service");
    start.service = words.word("the service");
    while (!words.at_end()) {
        if (words.accept("slots")) {
            start.slots = static_cast<std::uint32_t>(words.number("the slots"));
            continue;
        }
        words.require("label");
        const std::string label = words.word("KEY=VALUE");
        const std::size_t equals = label.find('=');
        if (equals == std::string::npos) {
            words.fail("'" + label + "' does not have the form KEY=VALUE");
            continue;
        }
        start.labels[label.substr(0, equals)] = label.substr(equals + 1);
    }
    return start;
}

change_result parse_change_result(word_cursor& words) {
    const std::string text = words.choice("result of a change", {"accepted", "rejected", "any"});
    if (text == "rejected") {
        return change_result::rejected;
    }
    return text == "any" ? change_result::any : change_result::accepted;
}

statement_body parse_delete(word_cursor& words) {
    delete_statement result;
    result.kind = words.choice("kind of resource", {"route", "service_policy", "target_rule"});
    result.name = words.word("the resource's name");
    while (!words.at_end()) {
        if (words.accept("via")) {
            result.via = words.word("a daemon");
            continue;
        }
        words.require("expect");
        result.expected = parse_change_result(words);
    }
    return result;
}

/// `json` is the JSON block at the end of the statement; empty if there is none.
statement_body parse_apply(word_cursor& words, std::string json) {
    apply_statement result;
    result.json = std::move(json);
    while (!words.at_end()) {
        if (words.accept("via")) {
            result.via = words.word("a daemon");
            continue;
        }
        if (words.accept("expect")) {
            result.expected = parse_change_result(words);
            continue;
        }
        if (!result.file.empty() || !result.json.empty()) {
            words.finish();
            break;
        }
        result.file = words.word("a file");
    }
    if (result.file.empty() && result.json.empty()) {
        words.fail("expects a JSON block or a file name");
    }
    return result;
}

statement_body parse_sleep(word_cursor& words) {
    const std::string text = words.word("a duration");
    const std::size_t dots = text.find("..");
    word_cursor min_duration({text.substr(0, dots)});
    sleep_statement result;
    result.min_duration = min_duration.duration("the duration");
    result.max_duration = result.min_duration;
    if (dots != std::string::npos) {
        word_cursor max_duration({text.substr(dots + 2)});
        result.max_duration = max_duration.duration("the maximum duration");
        if (max_duration.error()) {
            words.fail(*max_duration.error());
        }
    }
    if (min_duration.error()) {
        words.fail(*min_duration.error());
    }
    if (result.max_duration < result.min_duration) {
        words.fail("the maximum duration is less than the minimum");
    }
    return result;
}

statement_body parse_check(word_cursor& words) {
    words.require("promises");
    return check_statement{};
}

/// Number of braces and brackets that are opened and not closed in `text`, ignoring those within strings.
int nesting_depth(std::string_view text) {
    int depth = 0;
    bool in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char c = text[index];
        if (in_string && c == '\\') {
            ++index;
            continue;
        }
        if (c == '"') {
            in_string = !in_string;
            continue;
        }
        if (in_string) {
            continue;
        }
        depth += (c == '{' || c == '[') ? 1 : 0;
        depth -= (c == '}' || c == ']') ? 1 : 0;
    }
    return depth;
}

std::string_view trimmed(std::string_view text) {
    const std::size_t start = text.find_first_not_of(" \t\r");
    if (start == std::string_view::npos) {
        return {};
    }
    return text.substr(start, text.find_last_not_of(" \t\r") - start + 1);
}

class scenario_parser {
public:
    std::vector<statement> statements;
    std::vector<parse_error> errors;

    void read(std::string_view text) {
        while (!text.empty()) {
            const std::string_view line = trimmed(take_line(text));
            if (line.empty() || line.front() == '#') {
                continue;
            }
            read_statement(line, text);
        }
    }

private:
    std::string_view take_line(std::string_view& text) {
        ++m_line;
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        return line;
    }

    void read_statement(std::string_view line, std::string_view& following) {
        const std::size_t first_line = m_line;
        const std::string text(line);
        std::string json;
        const std::size_t block = line.find('{');
        if (line.starts_with("apply") && block != std::string_view::npos) {
            json = line.substr(block);
            line = line.substr(0, block);
            while (nesting_depth(json) > 0 && !following.empty()) {
                json += "\n";
                json += take_line(following);
            }
            if (nesting_depth(json) != 0) {
                errors.push_back({first_line, "the JSON block is not closed"});
                return;
            }
        }
        if (auto parsed = parse_one(line, first_line, std::move(json))) {
            parsed->text = text;
            statements.push_back(std::move(*parsed));
        }
    }

    std::optional<statement> parse_one(std::string_view line, std::size_t number, std::string json) {
        word_cursor words(split_words(line));
        const std::string keyword = words.word("a statement");
        statement result;
        result.line = number;
        result.text = line;
        if (keyword == "random") {
            result.body = parse_random(line, number, words);
        } else if (keyword == "setting") {
            result.body = parse_setting(line, words);
        } else if (keyword == "apply") {
            result.body = parse_apply(words, std::move(json));
        } else {
            parse_simple(keyword, words, result.body);
        }
        words.finish();
        if (words.error()) {
            errors.push_back({number, keyword + ": " + *words.error()});
            return std::nullopt;
        }
        return result;
    }

    static void parse_simple(const std::string& keyword, word_cursor& words, statement_body& body) {
        using parse_function = std::function<statement_body(word_cursor&)>;
        static const std::map<std::string, parse_function> parse_functions{
            {"mesh", parse_mesh},
            {"start", parse_start},
            {"stop", [](word_cursor& w) { return parse_signal(signal_kind::stop, w); }},
            {"kill", [](word_cursor& w) { return parse_signal(signal_kind::kill, w); }},
            {"pause", [](word_cursor& w) { return parse_signal(signal_kind::pause, w); }},
            {"resume", [](word_cursor& w) { return parse_signal(signal_kind::resume, w); }},
            {"cut", parse_cut},
            {"heal", [](word_cursor&) -> statement_body { return heal_statement{}; }},
            {"platform", parse_platform},
            {"target", parse_target},
            {"delete", parse_delete},
            {"call", parse_call},
            {"load", parse_load},
            {"expect", parse_expect},
            {"sleep", parse_sleep},
            {"check", parse_check},
        };
        const auto found = parse_functions.find(keyword);
        if (found == parse_functions.end()) {
            words.fail("unknown statement");
            return;
        }
        body = found->second(words);
    }

    static statement_body parse_setting(std::string_view line, word_cursor& words) {
        setting_statement result;
        result.key = words.word("SECTION.KEY");
        words.rest();
        // Taken from the line instead of the words, since split_words drops the quotes that TOML needs.
        result.value = trimmed(line.substr(line.find(result.key) + result.key.size()));
        if (result.value.empty()) {
            words.fail("expects a value");
        }
        if (result.key.find('.') == std::string::npos) {
            words.fail("expects SECTION.KEY, not '" + result.key + "'");
        }
        return result;
    }

    statement_body parse_random(std::string_view line, std::size_t number, word_cursor& words) {
        random_statement result;
        result.count = words.number("the number of choices");
        words.require("of");
        words.rest();
        const std::size_t start = line.find(" of ");
        std::string_view list = start == std::string_view::npos ? std::string_view{} : line.substr(start + 4);
        while (!list.empty()) {
            const std::size_t bar = std::min(list.find('|'), list.size());
            if (auto choice = parse_one(trimmed(list.substr(0, bar)), number, {})) {
                result.choices.push_back(std::move(*choice));
            }
            list.remove_prefix(std::min(bar + 1, list.size()));
        }
        if (result.count == 0 || result.count > result.choices.size()) {
            words.fail("cannot pick " + std::to_string(result.count) + " of " +
                       std::to_string(result.choices.size()) + " statements");
        }
        return result;
    }

    std::size_t m_line = 0;
};

} // namespace

tl::expected<std::vector<statement>, std::vector<parse_error>> parse_scenario(std::string_view text) {
    scenario_parser parser;
    parser.read(text);
    for (parse_error& error : check_names(parser.statements)) {
        parser.errors.push_back(std::move(error));
    }
    if (!parser.errors.empty()) {
        std::stable_sort(parser.errors.begin(), parser.errors.end(),
                         [](const parse_error& a, const parse_error& b) { return a.line < b.line; });
        return tl::unexpected(std::move(parser.errors));
    }
    return std::move(parser.statements);
}

} // namespace boragehollow::scenario
