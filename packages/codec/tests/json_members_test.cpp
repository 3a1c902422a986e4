#include "boragehollow/codec/json_members.hpp"

#include "boragehollow/common/random_source.hpp"

#include <gtest/gtest.h>

namespace boragehollow::codec {
namespace {

// Guards against members that are cut at a bracket or comma within a string or a nested value.
TEST(json_members, splits_an_object_into_its_members) {
    const auto members =
        split_object(R"( { "a" : {"x":[1,{"y":"}],"}]} , "b":"q\",{", "c": -1.5e3 ,"d":[] } )");
    ASSERT_TRUE(members.has_value()) << to_string(members.error());
    ASSERT_EQ(members->size(), 4U);
    EXPECT_EQ((*members)[0].name, "\"a\"");
    EXPECT_EQ((*members)[0].value, R"({"x":[1,{"y":"}],"}]})");
    EXPECT_EQ((*members)[1].value, R"("q\",{")");
    EXPECT_EQ((*members)[2].value, "-1.5e3");
    EXPECT_EQ((*members)[2].text(), "\"c\": -1.5e3");
    EXPECT_EQ((*members)[3].value, "[]");
    EXPECT_EQ(parse_name((*members)[0]), "a");
    EXPECT_TRUE(split_object("{}")->empty());
}

// Guards against a split that accepts what the parser rejects, when the values are parsed afterwards, and
// against reads past the end of a truncated text.
TEST(json_members, accepts_what_the_parser_accepts) {
    const std::string valid = R"({"a":{"b":[1,"x\\"]},"c":true,"d":"\u00e9"})";
    common::random_source random(7);
    for (int i = 0; i < 20'000; ++i) {
        std::string text = valid;
        const std::size_t at = random.index(text.size());
        switch (random.index(3)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text[at] = R"({}[]",:\ x0)"[random.index(11)];
            break;
        default:
            text.erase(at, 1 + random.index(3));
        }
        const auto parsed = parse_bounded_json(text);
        const auto members = split_object(text);
        bool accepted = members.has_value();
        for (std::size_t m = 0; accepted && m < members->size(); ++m) {
            accepted =
                parse_bounded_json((*members)[m].value).has_value() && parse_name((*members)[m]).has_value();
        }
        ASSERT_EQ(accepted, parsed.has_value() && parsed->is_object()) << text;
    }
}

} // namespace
} // namespace boragehollow::codec
