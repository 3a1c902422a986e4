#include "boragehollow/common/endpoint.hpp"

#include <gtest/gtest.h>

namespace boragehollow::common {
namespace {

TEST(endpoint, reads_both_address_families) {
    EXPECT_EQ(parse_endpoint("127.0.0.1:80"), (endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parse_endpoint("[::1]:443"), (endpoint{"::1", 443}));
}

TEST(endpoint, text_form_reads_back) {
    EXPECT_EQ(to_string(endpoint{"::1", 443}), "[::1]:443");
    EXPECT_EQ(to_string(endpoint{"127.0.0.1", 80}), "127.0.0.1:80");
}

// Host names would need a resolver, which daemons do not use.
TEST(endpoint, refuses_names_missing_and_oversized_ports) {
    for (const char* text :
         {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ""}) {
        EXPECT_FALSE(parse_endpoint(text)) << text;
    }
}

} // namespace
} // namespace boragehollow::common
