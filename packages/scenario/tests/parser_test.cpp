#include "boragehollow/scenario/parser.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace boragehollow::scenario {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;

const std::string mesh = "mesh m domains a b daemons 2\n";

std::vector<std::string> errors_of(const std::string& text) {
    std::vector<std::string> lines;
    const auto parsed = parse_scenario(text);
    if (parsed) {
        return lines;
    }
    for (const parse_error& error : parsed.error()) {
        lines.push_back(std::to_string(error.line) + ": " + error.message);
    }
    return lines;
}

template <class Statement>
Statement only(const std::string& line) {
    const auto parsed = parse_scenario(mesh + line);
    EXPECT_TRUE(parsed) << testing::PrintToString(errors_of(mesh + line));
    if (!parsed || parsed->size() != 2) {
        return {};
    }
    return std::get<Statement>(parsed->back().body);
}

TEST(parser, reads_processes_and_faults) {
    EXPECT_THAT(only<start_statement>("start a b-1 nowait").names, ElementsAre("a", "b-1"));
    EXPECT_FALSE(only<start_statement>("start a nowait").wait_until_ready);
    EXPECT_EQ(only<signal_statement>("pause a-1").kind, signal_kind::pause);
    EXPECT_EQ(only<cut_statement>("cut a platform").second, "platform");
    EXPECT_EQ(only<platform_statement>("platform slow 250ms").delay, 250ms);
    const auto target = only<target_start_statement>("target t on a-1 service desk slots 3 label x=y");
    EXPECT_EQ(target.slots, 3U);
    EXPECT_EQ(target.labels.at("x"), "y");
    EXPECT_EQ(only<setting_statement>("setting timing.swim_period \"200ms\"").value, "\"200ms\"");
}

TEST(parser, reads_calls_and_loads) {
    const auto call = only<call_statement>("call POST /orders via a host desk.example size 2KB over 1s key k "
                                           "patience 3s status 200 outcome answered");
    EXPECT_EQ(call.plan.body_size, 2048U);
    EXPECT_EQ(call.plan.body_over, 1s);
    EXPECT_EQ(call.plan.idempotency_key, "k");
    EXPECT_EQ(call.expected.status, 200);
    const auto load =
        only<load_statement>("load l 50/s for 2s via all mix 9 GET /orders and 1 POST /orders size 10");
    EXPECT_EQ(load.per_second, 50U);
    ASSERT_EQ(load.mix.size(), 2U);
    EXPECT_EQ(load.mix[1].plan.body_size, 10U);
}

TEST(parser, reads_expectations) {
    const auto in_force = only<expect_statement>("expect in-force everywhere within 11s");
    EXPECT_THAT(std::get<in_force_expectation>(in_force.what).names, ElementsAre("all"));
    EXPECT_EQ(in_force.duration, 11s);
    EXPECT_FALSE(in_force.throughout);
    EXPECT_TRUE(only<expect_statement>("expect members 4 on all for 2s").throughout);
    const auto event = only<expect_statement>("expect event BH1304 on a-1 within 1s");
    EXPECT_EQ(std::get<event_expectation>(event.what).number, 1304);
}

// Guards against a parser that counts braces within JSON strings and so misses the end of the block.
TEST(parser, reads_a_json_block_over_several_lines) {
    const std::string text =
        mesh + "apply via a-1 expect rejected {\"kind\": \"route\",\n \"name\": \"}{\"}\nheal\n";
    const auto parsed = parse_scenario(text);
    ASSERT_TRUE(parsed) << testing::PrintToString(errors_of(text));
    ASSERT_EQ(parsed->size(), 3U);
    const auto& apply = std::get<apply_statement>((*parsed)[1].body);
    EXPECT_THAT(apply.json, HasSubstr("\"}{\"}"));
    EXPECT_EQ(apply.expected, change_result::rejected);
    EXPECT_EQ((*parsed)[2].line, 4U);
    EXPECT_THAT(errors_of(mesh + "apply {\"kind\": \n"), ElementsAre("2: the JSON block is not closed"));
}

TEST(parser, reads_random_choices_as_statements) {
    const auto random = only<random_statement>("random 2 of kill a-1 | platform outage | cut a b");
    EXPECT_EQ(random.count, 2U);
    ASSERT_EQ(random.choices.size(), 3U);
    EXPECT_TRUE(std::holds_alternative<platform_statement>(random.choices[1].body));
}

// Guards against a parser that skips a misspelt statement, so that a scenario passes without running it.
TEST(parser, reports_every_invalid_statement_with_its_line) {
    EXPECT_THAT(errors_of(mesh + R"(# comment
strat a
kill c-1
expect in-force all
expect quiet t for 3s
load l 0/s for 1s via all mix 1 GET /
call GET orders
sleep 2s..1s
random 3 of heal | heal
target t drain
mesh n domains c daemons 1
call GET / as x status 200
expect call y within 1s
)"),
                ElementsAre(HasSubstr("3: strat: unknown statement"), HasSubstr("4: unknown daemon"),
                            HasSubstr("5: expect: expects end of the expectation"),
                            HasSubstr("6: no earlier statement declares the target 't'"),
                            HasSubstr("7: load: "), HasSubstr("8: call: the path 'orders'"),
                            HasSubstr("9: sleep: the maximum"), HasSubstr("10: random: cannot pick 3 of 2"),
                            HasSubstr("11: no earlier statement declares the target 't'"),
                            HasSubstr("12: a scenario declares only one mesh"),
                            HasSubstr("13: call: a background call"),
                            HasSubstr("14: no earlier statement declares the call 'y'")));
    EXPECT_THAT(errors_of("start a\n"), ElementsAre("1: must follow the 'mesh' statement"));
}

} // namespace
} // namespace boragehollow::scenario
