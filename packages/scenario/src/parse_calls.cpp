#include "parse_calls.hpp"

namespace boragehollow::scenario {

call_plan parse_request_line(word_cursor& words) {
    call_plan plan;
    plan.method = words.choice("method", {"GET", "HEAD", "PUT", "POST", "DELETE", "PATCH"});
    plan.path = words.word("a path");
    if (!words.error() && !plan.path.starts_with('/')) {
        words.fail("the path '" + plan.path + "' does not begin with a slash");
    }
    return plan;
}

bool parse_plan_option(word_cursor& words, call_plan& plan) {
    if (words.accept("via")) {
        plan.via = words.word("a daemon");
        return true;
    }
    if (words.accept("host")) {
        plan.host = words.word("a host name");
        return true;
    }
    if (words.accept("size")) {
        plan.body_size = words.size("the size of the body");
        return true;
    }
    if (words.accept("over")) {
        plan.body_over = words.duration("the duration of the upload");
        return true;
    }
    if (words.accept("hold")) {
        plan.hold = words.duration("the service time");
        return true;
    }
    if (words.accept("answer-size")) {
        plan.answer_size = words.size("the size of the response");
        return true;
    }
    if (words.accept("key")) {
        plan.idempotency_key = words.word("an idempotency key");
        return true;
    }
    if (words.accept("caller")) {
        plan.caller = words.word("a caller");
        return true;
    }
    if (words.accept("patience")) {
        plan.patience = words.duration("the caller's patience");
        return true;
    }
    return false;
}

bool parse_call_expectation(word_cursor& words, call_expectation& expected) {
    if (words.accept("status")) {
        expected.status = static_cast<int>(words.number("the status"));
        return true;
    }
    if (words.accept("outcome")) {
        expected.outcome = words.choice("outcome", {"answered", "not_run", "unknown"});
        return true;
    }
    if (words.accept("target")) {
        expected.target = words.word("a target");
        return true;
    }
    return false;
}

statement_body parse_call(word_cursor& words) {
    call_statement result;
    result.plan = parse_request_line(words);
    while (!words.at_end()) {
        if (parse_plan_option(words, result.plan) || parse_call_expectation(words, result.expected)) {
            continue;
        }
        if (words.accept("as")) {
            result.background_name = words.word("a name");
            continue;
        }
        words.finish();
    }
    const call_expectation& expected = result.expected;
    if (!result.background_name.empty() &&
        (expected.status || !expected.outcome.empty() || !expected.target.empty())) {
        words.fail("a background call takes no expectations; use 'expect call'");
    }
    return result;
}

statement_body parse_load(word_cursor& words) {
    load_statement result;
    result.name = words.word("a name");
    std::string rate = words.word("a rate, such as 50/s");
    if (rate.ends_with("/s")) {
        rate.resize(rate.size() - 2);
        word_cursor number({rate});
        result.per_second = static_cast<std::uint32_t>(number.number("the rate"));
    }
    if (result.per_second == 0) {
        words.fail("'" + rate + "' is not a rate such as 50/s");
    }
    words.require("for");
    result.duration = words.duration("the duration");
    words.require("via");
    result.via = words.names("daemons", {"mix"});
    words.require("mix");
    do {
        weighted_call call;
        call.weight = static_cast<std::uint32_t>(words.number("the weight"));
        call.plan = parse_request_line(words);
        while (parse_plan_option(words, call.plan)) {
        }
        if (call.weight == 0) {
            words.fail("a weight must be at least 1");
        }
        result.mix.push_back(std::move(call));
    } while (words.accept("and"));
    return result;
}

} // namespace boragehollow::scenario
