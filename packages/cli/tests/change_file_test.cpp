#include "boragehollow/cli/change_file.hpp"

#include <gtest/gtest.h>

namespace boragehollow::cli {
namespace {

std::vector<std::string> keys_with_errors(const char* text) {
    std::vector<std::string> keys;
    const auto read = read_change_file("f.json", text);
    if (read) {
        return keys;
    }
    for (const file_error& error : read.error()) {
        EXPECT_EQ(error.file, "f.json");
        keys.push_back(error.key);
    }
    return keys;
}

TEST(change_file, parses_resources_operations_and_the_output_of_get) {
    const config::put_operation plain{config::service_policy{.name = "s"}, {}};
    const config::put_operation expected{config::service_policy{.name = "s"}, config::revision{4}};
    const char* const stored =
        R"({"version":9,"resources":[{"resource":{"kind":"service_policy","name":"s"},"revision":4}]})";
    EXPECT_EQ(read_change_file("f", R"({"kind":"service_policy","name":"s"})")->front(),
              config::operation(plain));
    EXPECT_EQ(read_change_file("f", stored)->front(), config::operation(expected));
    const auto list =
        read_change_file("f", R"([{"put":{"kind":"service_policy","name":"s"},"expected_revision":4},
                 {"delete":{"kind":"route","name":"r"}}])");
    ASSERT_TRUE(list);
    EXPECT_EQ(list->at(0), config::operation(expected));
    EXPECT_TRUE(std::holds_alternative<config::delete_operation>(list->at(1)));
}

// Guards against `check` stopping at the first error.
TEST(change_file, reports_all_errors_with_their_keys) {
    EXPECT_EQ(keys_with_errors(
                  R"([{"kind":"route","name":"r"},{"kind":"service_policy","name":"s","retries":{}}])"),
              (std::vector<std::string>{"[0].service", "[1].retries"}));
    EXPECT_EQ(keys_with_errors(R"([{"kind":"route","name":"R","service":"s","deadline":"2h"},
                              {"put":{"kind":"target_rule","name":"t","service":"s","spill_over":2}}])"),
              (std::vector<std::string>{"[0].name", "[0].deadline", "[1].put.spill_over"}));
    EXPECT_EQ(
        keys_with_errors(R"([{"kind":"service_policy","name":"s"},{"kind":"service_policy","name":"s"}])"),
        (std::vector<std::string>{"[1]"}));
    EXPECT_EQ(keys_with_errors(R"([{"kind":"route","name":"R","work":"x"},{"kind":"rout","name":"R"}])"),
              (std::vector<std::string>{"[0].service", "[0].work", "[1].kind", "[0].name"}));
    EXPECT_EQ(keys_with_errors("[]"), (std::vector<std::string>{"operations"}));
    EXPECT_EQ(keys_with_errors("{"), (std::vector<std::string>{""}));
    EXPECT_NE(read_change_file("f", "{\n\n x").error().front().detail.find("line 3"), std::string::npos);
}

} // namespace
} // namespace boragehollow::cli
