#include "boragehollow/common/endpoint.hpp"

#include <gtest/gtest.h>

namespace boragehollow::common {
namespace {

TEST(endpoint, parses_both_address_families) {
    EXPECT_EQ(parse_endpoint("127.0.0.1:80"), (endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parse_endpoint("[::1]:443"), (endpoint{"::1", 443}));
}

TEST(endpoint, formats_the_text_that_is_parsed) {
    EXPECT_EQ(to_string(endpoint{"::1", 443}), "[::1]:443");
    EXPECT_EQ(to_string(endpoint{"127.0.0.1", 80}), "127.0.0.1:80");
}

// Host names would need a resolver, which daemons do not use.
TEST(endpoint, rejects_host_names_and_missing_or_invalid_ports) {
    for (const char* text :
         {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ""}) {
        EXPECT_FALSE(parse_endpoint(text)) << text;
    }
}

} // namespace
} // namespace boragehollow::common
