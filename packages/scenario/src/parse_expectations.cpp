#include "parse_expectations.hpp"

#include "parse_calls.hpp"

#include <functional>
#include <map>

namespace boragehollow::scenario {

namespace {

name_list daemons(word_cursor& words) {
    name_list names = words.names("daemons, domains or 'all'", {"within", "for"});
    for (std::string& name : names) {
        if (name == "everywhere") {
            name = "all";
        }
    }
    return names;
}

expectation parse_version(word_cursor& words) {
    version_expectation result;
    result.name = words.word("a daemon");
    result.at_least = words.choice("comparison", {"at-least", "below"}) == "at-least";
    if (!words.accept("latest")) {
        result.number = words.number("a version, or 'latest',");
    }
    return result;
}

expectation parse_members(word_cursor& words) {
    members_expectation result;
    result.alive = words.number("the number of live members");
    words.require("on");
    result.names = daemons(words);
    return result;
}

expectation parse_answered(word_cursor& words) {
    answered_expectation result;
    result.plan = parse_request_line(words);
    while (parse_plan_option(words, result.plan) || parse_call_expectation(words, result.expected)) {
    }
    if (!result.expected.status) {
        result.expected.status = 200;
    }
    return result;
}

expectation parse_background(word_cursor& words) {
    background_expectation result;
    result.name = words.word("the name of a call");
    while (parse_call_expectation(words, result.expected)) {
    }
    return result;
}

expectation parse_load_result(word_cursor& words) {
    load_expectation result;
    result.name = words.word("the name of a load");
    words.require("answered");
    std::string percent = words.word("a percentage");
    if (!percent.ends_with('%')) {
        words.fail("'" + percent + "' is not a percentage such as 95%");
        return result;
    }
    percent.pop_back();
    word_cursor number({percent});
    result.min_percent = static_cast<std::uint32_t>(number.number("the percentage"));
    if (number.error() || result.min_percent > 100) {
        words.fail("'" + percent + "%' is not a percentage");
    }
    return result;
}

expectation parse_event(word_cursor& words) {
    event_expectation result;
    std::string code = words.word("an event such as BH1304");
    if (code.starts_with("BH")) {
        code.erase(0, 2);
    }
    word_cursor number({code});
    result.number = static_cast<std::uint16_t>(number.number("the event"));
    if (number.error()) {
        words.fail(*number.error());
    }
    words.require("on");
    result.names = daemons(words);
    return result;
}

} // namespace

statement_body parse_expect(word_cursor& words) {
    using parse_function = std::function<expectation(word_cursor&)>;
    static const std::map<std::string, parse_function> parse_functions{
        {"in-force", [](word_cursor& w) -> expectation { return in_force_expectation{daemons(w)}; }},
        {"version", parse_version},
        {"same-digest", [](word_cursor& w) -> expectation { return same_digest_expectation{daemons(w)}; }},
        {"members", parse_members},
        {"ready",
         [](word_cursor& w) -> expectation {
             return ready_expectation{true, daemons(w)};
         }},
        {"not-ready",
         [](word_cursor& w) -> expectation {
             return ready_expectation{false, daemons(w)};
         }},
        {"answered", parse_answered},
        {"call", parse_background},
        {"load", parse_load_result},
        {"exited", [](word_cursor& w) -> expectation { return exited_expectation{daemons(w)}; }},
        {"ledger",
         [](word_cursor& w) -> expectation {
             w.require("once");
             return ledger_expectation{};
         }},
        {"quiet", [](word_cursor& w) -> expectation { return quiet_expectation{w.word("a target")}; }},
        {"event", parse_event},
    };
    expect_statement result;
    const std::string kind = words.word("an expectation");
    const auto found = parse_functions.find(kind);
    if (found == parse_functions.end()) {
        words.fail("'" + kind + "' is not an expectation");
        return result;
    }
    result.what = found->second(words);
    result.throughout = words.choice("end of the expectation", {"within", "for"}) == "for";
    result.duration = words.duration("the duration");
    if (std::holds_alternative<quiet_expectation>(result.what) && !result.throughout) {
        words.fail("'quiet' takes 'for' and a duration, not 'within'");
    }
    return result;
}

} // namespace boragehollow::scenario
