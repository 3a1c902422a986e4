#include "boragehollow/codec/resource_json.hpp"
#include "boragehollow/config/validation.hpp"
#include "boragehollow/scenario/parser.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace boragehollow::scenario {
namespace {

// Guards against scenario files that the runner cannot parse, and against `apply` statements whose file is
// missing.
TEST(scenario_files, can_be_parsed) {
    const std::filesystem::path folder = BORAGEHOLLOW_SCENARIO_FOLDER;
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".scn") {
            continue;
        }
        ++files;
        std::ostringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        const auto parsed = parse_scenario(text.str());
        if (!parsed) {
            for (const parse_error& error : parsed.error()) {
                ADD_FAILURE() << entry.path() << ":" << error.line << ": " << error.message;
            }
            continue;
        }
        EXPECT_TRUE(std::holds_alternative<check_statement>(parsed->back().body))
            << entry.path() << " does not end with 'check promises'";
        for (const statement& each : *parsed) {
            const auto* apply = std::get_if<apply_statement>(&each.body);
            if (apply != nullptr && !apply->file.empty()) {
                EXPECT_TRUE(std::filesystem::exists(folder / apply->file))
                    << entry.path() << ":" << each.line;
            }
        }
    }
    EXPECT_GE(files, 9U) << "there must be a scenario for each of the nine guarantees";
}

// Guards against example files that validation rejects when an operator applies them.
TEST(scenario_files, examples_hold_valid_resources) {
    std::size_t resources = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(BORAGEHOLLOW_EXAMPLES_FOLDER)) {
        if (entry.path().extension() != ".json") {
            continue;
        }
        std::ostringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        const auto document = codec::parse_json(text.str());
        ASSERT_TRUE(document) << entry.path() << ": " << document.error().detail;
        for (const auto& item : document->at("resources")) {
            const auto resource = codec::from_json<config::resource>(item);
            ASSERT_TRUE(resource) << entry.path() << ": " << to_string(resource.error().front());
            const auto errors = config::validate(*resource);
            EXPECT_TRUE(errors.empty())
                << entry.path() << ": " << errors.front().field << " " << errors.front().detail;
            ++resources;
        }
    }
    EXPECT_GE(resources, 14U);
}

} // namespace
} // namespace boragehollow::scenario
