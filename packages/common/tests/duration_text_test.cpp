#include "boragehollow/common/duration_text.hpp"

#include <gtest/gtest.h>

namespace boragehollow::common {
namespace {

using std::chrono::milliseconds;

// Guards against input that is parsed only in part, and against overflow.
TEST(duration_text, parses_and_formats_units) {
    EXPECT_EQ(parse_duration("250ms"), milliseconds{250});
    EXPECT_EQ(parse_duration("10s"), milliseconds{10'000});
    EXPECT_EQ(parse_duration("2h"), milliseconds{7'200'000});
    for (const char* text : {"", "10", "ms", "-1s", "1.5s", " 1s", "1s ", "9223372036854775807s", "1d"}) {
        EXPECT_FALSE(parse_duration(text)) << text;
    }
    EXPECT_EQ(format_duration(milliseconds{90'000}), "90s");
    EXPECT_EQ(format_duration(milliseconds{1'500}), "1500ms");
    EXPECT_EQ(format_duration(milliseconds{0}), "0ms");
}

} // namespace
} // namespace boragehollow::common
