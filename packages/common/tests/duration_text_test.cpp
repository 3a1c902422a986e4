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
    for (const char* text : {"",
                             "10",
                             "ms",
                             "-1s",
                             " 1s",
                             "1s ",
                             "9223372036854775807s",
                             "9223372036854775807.5ms",
                             "1d",
                             "1.5",
                             "1.s",
                             ".5s",
                             "1.5.5s",
                             "1,5s",
                             "-1.5s",
                             "1.5 s",
                             "1e3ms",
                             "infs",
                             "nans",
                             "0x1ps"}) {
        EXPECT_FALSE(parse_duration(text)) << text;
    }
    EXPECT_EQ(format_duration(milliseconds{90'000}), "90s");
    EXPECT_EQ(format_duration(milliseconds{1'500}), "1500ms");
    EXPECT_EQ(format_duration(milliseconds{0}), "0ms");
}

// Guards against a daemon that does not start because the platform states a time as a fraction of a second.
TEST(duration_text, parses_fractions) {
    EXPECT_EQ(parse_duration("2.5s"), milliseconds{2'500});
    EXPECT_EQ(parse_duration("1.5s"), milliseconds{1'500});
    EXPECT_EQ(parse_duration("0.25h"), milliseconds{900'000});
    EXPECT_EQ(parse_duration("1500.0ms"), milliseconds{1'500});
    EXPECT_EQ(parse_duration("0.0006s"), milliseconds{1});
}

} // namespace
} // namespace boragehollow::common
