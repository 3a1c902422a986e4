#include "boragehollow/common/truncate.hpp"

#include <gtest/gtest.h>

namespace boragehollow::common {
namespace {

// Guards against error details that are not valid UTF-8 and break the JSON of a response.
TEST(truncate, does_not_split_utf8_sequences) {
    EXPECT_EQ(truncate_utf8("a\xc3\xa9z", 2), "a");
    EXPECT_EQ(truncate_utf8("a\xc3\xa9z", 3), "a\xc3\xa9");
    EXPECT_EQ(truncate_utf8("\xa9\xa9\xa9", 2), "");
}

} // namespace
} // namespace boragehollow::common
