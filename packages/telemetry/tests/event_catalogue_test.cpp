#include "boragehollow/telemetry/event_catalogue.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <regex>
#include <string>

namespace boragehollow::telemetry {
namespace {

// Guards against event numbers that are duplicated, out of order or in the range of another channel.
TEST(event_catalogue, numbers_increase_and_lie_in_the_range_of_their_channel) {
    std::uint16_t previous = 0;
    for (const event_description& description : event_catalogue()) {
        const auto number = static_cast<std::uint16_t>(description.number);
        EXPECT_GT(number, previous);
        EXPECT_TRUE(belongs_to_channel(number, description.channel)) << event_code(number);
        EXPECT_EQ(find_event(number), &description);
        previous = number;
    }
    EXPECT_EQ(find_event(9999), nullptr);
}

// Guards against events missing from docs/events.md, and against entries there that differ from the
// catalogue.
TEST(event_catalogue, page_lists_the_same_events) {
    std::ifstream page(BORAGEHOLLOW_EVENTS_PAGE);
    ASSERT_TRUE(page) << BORAGEHOLLOW_EVENTS_PAGE;
    const std::regex row(R"(\| (BH\d{4}) \| `(\w+)` \| (\w+) \| (.+) \| (.+) \|)");
    std::map<std::string, std::smatch> rows;
    std::vector<std::string> lines;
    for (std::string line; std::getline(page, line);) {
        lines.push_back(line);
    }
    for (const std::string& line : lines) {
        std::smatch match;
        if (!std::regex_match(line, match, row)) {
            continue;
        }
        EXPECT_TRUE(rows.emplace(match[1].str(), match).second) << "listed twice: " << line;
    }
    EXPECT_EQ(rows.size(), event_catalogue().size());
    for (const event_description& description : event_catalogue()) {
        const auto found = rows.find(event_code(static_cast<std::uint16_t>(description.number)));
        ASSERT_NE(found, rows.end()) << description.name;
        EXPECT_EQ(found->second[2].str(), description.name);
        EXPECT_EQ(found->second[3].str(), to_string(description.level));
        EXPECT_EQ(found->second[4].str(), description.meaning);
        EXPECT_FALSE(found->second[5].str().empty());
    }
}

} // namespace
} // namespace boragehollow::telemetry
