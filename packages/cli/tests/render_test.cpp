#include "boragehollow/cli/render.hpp"

#include <gtest/gtest.h>

namespace boragehollow::cli {
namespace {

TEST(render, aligns_columns_and_replaces_control_characters) {
    EXPECT_EQ(render_table({{"A", "B"}, {"long", "x\x1b[2J"}}), "A     B\nlong  x?[2J\n");
}

TEST(render, prints_resources_and_outcomes) {
    const auto body = codec::parse_json(
        R"({"version":9,"resources":[{"revision":4,"resource":{"kind":"route","name":"r","host":"",
            "path_prefix":"/a","service":"s"}}]})");
    EXPECT_EQ(render_resources(*body), "KIND   NAME  REVISION  SUMMARY\nroute  r     4         */a -> s\n");
    const config::rejected reason{config::rejection_reason::not_found, "gone", "operations[0].delete",
                                  config::resource_key{config::resource_kind::route, "r"}};
    EXPECT_EQ(render_outcome({"c1", {5}, "ana", reason}),
              "rejected at revision 5 (change c1): not_found, route r, operations[0].delete: gone\n");
    EXPECT_EQ(render_outcome({"c1", {5}, "ana", config::accepted{}}), "accepted at revision 5 (change c1)\n");
}

// Guards against a crash when a daemon of another version omits fields or changes their type.
TEST(render, accepts_any_json) {
    for (const char* text :
         {"{}", "[]", "null", R"({"resources":[1,{}],"in_force":[null],"events":[{"time":1}]})",
          R"({"operations":[1,{"put":3}],"snapshot":null})"}) {
        const auto body = codec::parse_json(text);
        EXPECT_FALSE(render_resources(*body).empty());
        EXPECT_FALSE(render_status(*body).empty());
        EXPECT_FALSE(render_timeline(*body).empty());
        EXPECT_FALSE(render_watch_line(*body).empty());
    }
}

} // namespace
} // namespace boragehollow::cli
