#include "boragehollow/codec/log_codec.hpp"

#include <gtest/gtest.h>

namespace boragehollow::codec {
namespace {

spreading::encoded_snapshot snapshot_at(std::uint64_t version, std::size_t bytes) {
    return {revision{version}, version * 3, std::make_shared<const std::string>(bytes, 'a' + version % 26)};
}

TEST(log_codec, page_survives_the_round_trip) {
    const auto bytes = std::make_shared<const std::string>("data");
    const auto page = decode_log_page(encode_log_page({revision{3}, revision{6}, {{revision{4}, bytes}}}));
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->first_retained, revision{3});
    EXPECT_EQ(page->next_offset, revision{6});
    EXPECT_EQ(*page->records.at(0).bytes, "data");
}

// Records out of order would be applied out of order.
TEST(log_codec, refuses_damaged_answers) {
    const auto bytes = std::make_shared<const std::string>("data");
    EXPECT_FALSE(decode_log_page(
        encode_log_page({revision{1}, revision{9}, {{revision{4}, bytes}, {revision{3}, bytes}}})));
    EXPECT_FALSE(decode_log_page("\xff\xff\xff"));
    EXPECT_EQ(decode_append_reply(encode_append_reply(revision{7})), revision{7});
    for (const char* damaged : {"", "{", "[]", "{\"offset\":0}", "{\"offset\":-1}", "{\"offset\":\"7\"}"}) {
        EXPECT_FALSE(decode_append_reply(damaged)) << damaged;
    }
}

// Two compactors append at once: their chunks are mixed in the stream, and one of them may stop half way.
TEST(log_codec, assembles_the_newest_complete_snapshot_from_mixed_chunks) {
    const auto older = encode_snapshot_chunks(snapshot_at(5, 1'000), 300);
    const auto newer = encode_snapshot_chunks(snapshot_at(6, 1'000), 300);
    ASSERT_EQ(older.size(), 4U);
    snapshot_assembler assembler;
    assembler.add("not a chunk");
    for (std::size_t i = 0; i < older.size(); ++i) {
        EXPECT_FALSE(assembler.newest().has_value());
        assembler.add(older[i]);
        if (i > 0) {
            assembler.add(newer[i]);
        }
    }
    ASSERT_TRUE(assembler.newest().has_value());
    EXPECT_EQ(assembler.newest()->version, revision{5});
    EXPECT_EQ(*assembler.newest()->bytes, *snapshot_at(5, 1'000).bytes);
    assembler.add(newer[0]);
    EXPECT_EQ(assembler.newest()->digest, 18U);
}

} // namespace
} // namespace boragehollow::codec
