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
            words.fail("'" + label + "' is no KEY=VALUE");
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

/// `json` is the block that follows the words, or empty.
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
        words.fail("expects a JSON block or a file");
    }
    return result;
}

statement_body parse_sleep(word_cursor& words) {
    const std::string text = words.word("a duration");
    const std::size_t dots = text.find("..");
    word_cursor least({text.substr(0, dots)});
    sleep_statement result;
    result.least = least.duration("the duration");
    result.most = result.least;
    if (dots != std::string::npos) {
        word_cursor most({text.substr(dots + 2)});
        result.most = most.duration("the longest duration");
        if (most.fault()) {
            words.fail(*most.fault());
        }
    }
    if (least.fault()) {
        words.fail(*least.fault());
    }
    if (result.most < result.least) {
        words.fail("the longest duration is shorter than the shortest one");
    }
    return result;
}

statement_body parse_check(word_cursor& words) {
    words.require("promises");
    return check_statement{};
}

/// Depth of the braces and brackets outside strings.
int nesting(std::string_view text) {
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
    std::vector<parse_fault> faults;

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
            while (nesting(json) > 0 && !following.empty()) {
                json += "\n";
                json += take_line(following);
            }
            if (nesting(json) != 0) {
                faults.push_back({first_line, "the JSON block has no end"});
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
        if (words.fault()) {
            faults.push_back({number, keyword + ": " + *words.fault()});
            return std::nullopt;
        }
        return result;
    }

    static void parse_simple(const std::string& keyword, word_cursor& words, statement_body& body) {
        using rule = std::function<statement_body(word_cursor&)>;
        static const std::map<std::string, rule> rules{
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
        const auto found = rules.find(keyword);
        if (found == rules.end()) {
            words.fail("unknown statement");
            return;
        }
        body = found->second(words);
    }

    static statement_body parse_setting(std::string_view line, word_cursor& words) {
        setting_statement result;
        result.key = words.word("SECTION.KEY");
        words.rest();
        // The value keeps its quotes, since TOML needs them.
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
            words.fail("picks " + std::to_string(result.count) + " of " +
                       std::to_string(result.choices.size()) + " statements");
        }
        return result;
    }

    std::size_t m_line = 0;
};

} // namespace

tl::expected<std::vector<statement>, std::vector<parse_fault>> parse_scenario(std::string_view text) {
    scenario_parser parser;
    parser.read(text);
    for (parse_fault& fault : check_names(parser.statements)) {
        parser.faults.push_back(std::move(fault));
    }
    if (!parser.faults.empty()) {
        std::stable_sort(parser.faults.begin(), parser.faults.end(),
                         [](const parse_fault& a, const parse_fault& b) { return a.line < b.line; });
        return tl::unexpected(std::move(parser.faults));
    }
    return std::move(parser.statements);
}

} // namespace boragehollow::scenario
