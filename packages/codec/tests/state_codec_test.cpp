#include "boragehollow/codec/state_codec.hpp"
#include "boragehollow/config/config_state.hpp"

#include <gtest/gtest.h>

namespace boragehollow::codec {
namespace {

/// A state after one accepted and one rejected change.
config::config_state sample_state() {
    config::config_state state;
    config::change fill{"fill", "ana", 1, {}};
    fill.operations.emplace_back(config::put_operation{config::service_policy{.name = "orders"}, {}});
    fill.operations.emplace_back(config::put_operation{
        config::target_rule{.name = "t", .service = "orders", .labels = {{"x", "1"}, {"y", "2"}}}, {}});
    EXPECT_TRUE(state.apply(config::revision{1}, fill));
    config::change dangling{"dangling", "eva", 1, {}};
    dangling.operations.emplace_back(
        config::put_operation{config::route{.name = "r", .service = "missing"}, {}});
    EXPECT_TRUE(state.apply(config::revision{2}, dangling));
    return state;
}

/// A state whose encoding takes several chunks.
config::config_state large_state(std::uint64_t first_revision) {
    config::config_state state;
    for (std::uint64_t i = 0; i < 80; ++i) {
        config::change record{"c" + std::to_string(i), "ana", 1, {}};
        for (int j = 0; j < 100; ++j) {
            record.operations.emplace_back(config::put_operation{
                config::service_policy{.name = "s" + std::to_string(i) + "-" + std::to_string(j)}, {}});
        }
        EXPECT_TRUE(state.apply(config::revision{first_revision + i}, record));
    }
    return state;
}

// Guards against a daemon that, after a restore, decides differently from the one that wrote the snapshot.
TEST(state_codec, decoded_state_has_equal_bytes_and_outcomes) {
    const auto source = sample_state().snapshot();
    const std::string bytes = encode_state(*source);
    const auto decoded = decode_state(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(encode_state(**decoded), bytes);
    EXPECT_EQ((*decoded)->digest, source->digest);
    ASSERT_NE((*decoded)->outcome_of("dangling"), nullptr);
    EXPECT_EQ(*(*decoded)->outcome_of("dangling"), *source->outcome_of("dangling"));
    EXPECT_EQ((*decoded)->resources.size(), 2U);
}

// Guards against a corrupt snapshot that becomes a daemon's state.
TEST(state_codec, rejects_corrupt_states) {
    EXPECT_FALSE(decode_state("\xff"));
    const std::string bytes = encode_state(*sample_state().snapshot());
    // Protobuf merges concatenated messages, so this state has every resource twice.
    EXPECT_FALSE(decode_state(bytes + bytes));
}

// Guards against a snapshot that takes more appends than necessary.
TEST(state_codec, small_state_takes_one_chunk) {
    snapshot_assembler assembler;
    const auto records = split_state(*config::config_state().snapshot());
    EXPECT_EQ(records.size(), 1U);
    EXPECT_EQ(split_state(*sample_state().snapshot()).size(), 1U);
}

// Guards against a state that can't be read because two compactors wrote at the same time.
TEST(state_codec, assembles_interleaved_and_repeated_chunks) {
    const auto older = split_state(*large_state(1).snapshot());
    const auto newer = split_state(*large_state(1'000).snapshot());
    ASSERT_GT(older.size(), 2U);
    ASSERT_EQ(older.size(), newer.size());
    snapshot_assembler assembler;
    std::vector<std::uint64_t> versions;
    const auto add = [&](const std::string& record) {
        EXPECT_LE(record.size(), max_chunk_record_bytes);
        const auto result = assembler.add(record);
        ASSERT_TRUE(result);
        if (*result) {
            versions.push_back((*result)->version.value);
        }
    };
    for (std::size_t i = newer.size(); i-- > 0;) {
        add(older[i]);
        add(newer[i]);
        add(newer[i]);
        add(older[i]);
    }
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{80, 1'079}));
    EXPECT_EQ(assembler.pending(), 0U);
}

// Guards against memory that grows with every compactor that fails in the middle of a snapshot.
TEST(state_codec, drops_incomplete_states_of_failed_compactors) {
    snapshot_assembler assembler;
    for (std::uint64_t i = 1; i <= 10; ++i) {
        ASSERT_TRUE(assembler.add(split_state(*large_state(i * 100).snapshot()).front()));
    }
    EXPECT_LE(assembler.pending(), 4U);
}

// Guards against a corrupt chunk that becomes part of a daemon's state.
TEST(state_codec, rejects_snapshot_with_wrong_content_hash) {
    auto records = split_state(*large_state(1).snapshot());
    records[0][records[0].size() / 2] ^= 1;
    snapshot_assembler assembler;
    bool failed = false;
    for (const std::string& record : records) {
        const auto result = assembler.add(record);
        failed = failed || !result;
        EXPECT_FALSE(result && *result);
    }
    EXPECT_TRUE(failed);
}

} // namespace
} // namespace boragehollow::codec
