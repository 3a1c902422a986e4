#include "boragehollow/codec/log_codec.hpp"

#include <gtest/gtest.h>

namespace boragehollow::codec {
namespace {

// Guards against an offset or a record that is not encoded.
TEST(log_codec, page_survives_round_trip) {
    const auto bytes = std::make_shared<const std::string>("data");
    const auto page = decode_log_page(encode_log_page({revision{3}, revision{6}, {{revision{4}, bytes}}}));
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->first_retained, revision{3});
    EXPECT_EQ(page->next_offset, revision{6});
    EXPECT_EQ(*page->records.at(0).bytes, "data");
}

// Guards against records that are applied out of order because the response listed them out of order.
TEST(log_codec, rejects_corrupt_responses) {
    const auto bytes = std::make_shared<const std::string>("data");
    EXPECT_FALSE(decode_log_page(
        encode_log_page({revision{1}, revision{9}, {{revision{4}, bytes}, {revision{3}, bytes}}})));
    EXPECT_FALSE(decode_log_page("\xff\xff\xff"));
    EXPECT_EQ(decode_append_reply(encode_append_reply(revision{7})), revision{7});
    EXPECT_FALSE(
        decode_append_reply("{\"offset\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}"));
    for (const char* corrupt : {"", "{", "[]", "{\"offset\":0}", "{\"offset\":-1}", "{\"offset\":\"7\"}"}) {
        EXPECT_FALSE(decode_append_reply(corrupt)) << corrupt;
    }
}

} // namespace
} // namespace boragehollow::codec
