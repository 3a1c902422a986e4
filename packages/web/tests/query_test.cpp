#include "boragehollow/web/query.hpp"

#include <gtest/gtest.h>

namespace boragehollow::web {
namespace {

// Guards against parameters that keep their percent escapes or get lost without a value.
TEST(query, decodes_parameters) {
    const auto parameters = parse_query("from=7&name=a%20b&flag");
    EXPECT_EQ(parameters.at("from"), "7");
    EXPECT_EQ(parameters.at("name"), "a b");
    EXPECT_EQ(parameters.at("flag"), "");
}

// Guards against reads past the end of a truncated escape.
TEST(query, rejects_malformed_escapes) {
    EXPECT_EQ(percent_decode("%2"), std::nullopt);
    EXPECT_EQ(percent_decode("%zz"), std::nullopt);
    EXPECT_EQ(percent_decode("%41"), "A");
}

// Guards against a value with reserved characters that changes the query it is part of.
TEST(query, encoded_text_decodes_to_itself) {
    const std::string text = "a&b=c%20 \xffz" + std::string(1, '\0');
    EXPECT_EQ(percent_encode("a&b"), "a%26b");
    EXPECT_EQ(percent_decode(percent_encode(text)), text);
}

// Guards against a path that is not recognized because of duplicate or trailing slashes.
TEST(query, path_segments_omit_empty_segments) {
    EXPECT_EQ(path_segments("//v1/changes/7/"), (std::vector<std::string>{"v1", "changes", "7"}));
}

} // namespace
} // namespace boragehollow::web
