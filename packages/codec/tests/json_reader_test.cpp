#include "boragehollow/codec/json_reader.hpp"

#include <gtest/gtest.h>

namespace boragehollow::codec {
namespace {

// Guards against a nesting limit that rejects valid texts: brackets within strings do not nest, and siblings
// do not add up.
TEST(json_reader, limits_the_nesting_only) {
    const json_limits limits{3, 1'000};
    EXPECT_TRUE(parse_bounded_json("[[[1]]]", limits).has_value());
    EXPECT_FALSE(parse_bounded_json("[[[[1]]]]", limits).has_value());
    EXPECT_FALSE(parse_bounded_json(R"({"a":{"b":{"c":{}}}})", limits).has_value());
    EXPECT_TRUE(
        parse_bounded_json(R"(["[[[[", "\"[[[[", "\\", "]]]]", [[1], [2]], [[3]]])", limits).has_value());
    EXPECT_FALSE(parse_bounded_json(R"(["\\", [[[1]]]])", limits).has_value());
}

// Guards against a text whose size exhausts the memory, and against reads past the end of a truncated text.
TEST(json_reader, rejects_large_and_truncated_texts) {
    EXPECT_FALSE(parse_bounded_json("[" + std::string(2'000, ' ') + "]", {3, 1'000}).has_value());
    for (const char* text : {"", "\"", "\"\\", "[\"\\\"", "]", "}{", "{\"a\":"}) {
        EXPECT_FALSE(parse_bounded_json(text).has_value()) << text;
        EXPECT_FALSE(parse_json(text).has_value()) << text;
    }
}

} // namespace
} // namespace boragehollow::codec
