#include "boragehollow/codec/member_codec.hpp"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <algorithm>
#include <limits>

namespace boragehollow::codec {
namespace {

constexpr common::hybrid_time sent{common::wall_time(std::chrono::microseconds(1'790'000'000'000'000)), 3};

membership::member sample_member() {
    membership::member value{"host-1-250",
                             "failure-domain-1",
                             {"fd00::1:2", 65535},
                             {"10.101.0.250", 7001},
                             membership::first_incarnation(sent.wall)};
    value.state = membership::member_state::suspect;
    value.target = {"order-desk", {{"version", "v1"}, {"zone", ""}}, 6, membership::target_state::draining};
    value.target_sequence = 9;
    value.link_megabits = 1'000'000;
    value.withdrawn = {{"i-1", std::numeric_limits<std::uint64_t>::max(), false, true},
                       {"i-\xff", 0, true, false}};
    return value;
}

std::vector<membership::datagram> samples() {
    const std::vector<membership::member> members{sample_member()};
    const std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    const membership::log_read log_read{"host-1-251", largest, largest, std::chrono::milliseconds(1'200)};
    return {
        {"h", membership::ping{7, {42}}, members},
        {"h", membership::ack{7, {42}, "other"}, members},
        {"h", membership::indirect_ping{7, {42}, "other"}, members},
        {"h", membership::progress_report{{42}, {{{41}, {1, 2, 3}}, {{42}, {4}}}}, members},
        {"h", membership::progress_report{}, {}},
        {"h", membership::progress_report{{42}}, members, 7, log_read},
        {"h", membership::ping{7, {42}}, {}, 0, membership::log_read{}},
    };
}

// Guards against a field that is not encoded, and against a size estimate below the encoded size: datagrams
// filled by estimate would then exceed the limit.
TEST(member_codec, datagrams_survive_round_trip_within_their_estimated_size) {
    for (const membership::datagram& value : samples()) {
        const auto bytes = encode_datagram(value, "los-andes", sent);
        ASSERT_TRUE(bytes);
        EXPECT_LE(bytes->size(), membership::estimated_size(value));
        EXPECT_EQ(decode_datagram(*bytes, "los-andes"), (decoded_datagram{value, sent}));
        std::printf("datagram: %zu bytes, estimated %zu\n", bytes->size(), membership::estimated_size(value));
    }
}

// Guards against a restarted daemon that is not told what its predecessor withdrew.
TEST(member_codec, withdrawn_instances_survive_a_synchronization) {
    const membership::sync_request request{{}, {}, {}, true, "host-1"};
    peer::v1::SyncRequest request_message;
    write_sync_request(request, request_message);
    EXPECT_EQ(read_sync_request(request_message)->withdrawn_of_host, "host-1");

    const membership::sync_reply reply{{}, {}, {}, sample_member().withdrawn};
    peer::v1::SyncReply reply_message;
    write_sync_reply(reply, reply_message);
    EXPECT_EQ(read_sync_reply(reply_message)->withdrawn, reply.withdrawn);
}

// Guards against an overflow when a received age is subtracted from the present time.
TEST(member_codec, a_log_read_of_absurd_age_is_ignored) {
    const membership::datagram value{"h", membership::ping{7, {42}}, {}, 0, membership::log_read{}};
    peer::v1::Datagram message;
    ASSERT_TRUE(message.ParseFromString(*encode_datagram(value, "los-andes", sent)));
    message.mutable_log_read()->set_age_ms(std::numeric_limits<std::uint64_t>::max());
    const auto decoded = decode_datagram(message.SerializeAsString(), "los-andes");
    ASSERT_TRUE(decoded);
    EXPECT_FALSE(decoded->value.latest_read);
    EXPECT_EQ(decoded->value.body, value.body);
}

// Guards against two meshes that merge their member tables.
TEST(member_codec, rejects_other_meshes_and_protocols) {
    const std::string bytes = *encode_datagram(samples().front(), "los-andes", sent);
    EXPECT_EQ(decode_datagram(bytes, "inkwi").error(), datagram_error(other_mesh{"los-andes"}));
    peer::v1::Datagram message;
    ASSERT_TRUE(message.ParseFromString(bytes));
    message.mutable_header()->set_protocol(2);
    EXPECT_EQ(decode_datagram(message.SerializeAsString(), "los-andes").error(),
              datagram_error(unknown_protocol{2}));
}

/// Error of decoding a datagram that `mutate` has changed.
template <class Mutate>
datagram_error error_after(Mutate mutate) {
    peer::v1::Datagram message;
    message.ParseFromString(*encode_datagram(samples().front(), "m", sent));
    mutate(message);
    const auto decoded = decode_datagram(message.SerializeAsString(), "m");
    return decoded ? datagram_error(malformed{"decoded"}) : decoded.error();
}

// Guards against an unusable entry that spreads to the member table of every daemon in the mesh.
TEST(member_codec, rejects_malformed_members) {
    const auto rejected = [](const datagram_error& error) {
        const auto* cause = std::get_if<malformed>(&error);
        return cause != nullptr && cause->detail != "decoded";
    };
    EXPECT_TRUE(rejected(error_after([](auto& m) { m.clear_ping(); })));
    EXPECT_TRUE(rejected(error_after([](auto& m) { m.mutable_header()->clear_from_host(); })));
    EXPECT_TRUE(rejected(error_after([](auto& m) { m.mutable_members(0)->clear_host(); })));
    EXPECT_TRUE(
        rejected(error_after([](auto& m) { m.mutable_members(0)->mutable_peer()->set_port(70000); })));
    EXPECT_TRUE(rejected(error_after([](auto& m) { m.mutable_members(0)->clear_gossip(); })));
    EXPECT_TRUE(rejected(error_after(
        [](auto& m) { m.mutable_members(0)->set_state(static_cast<peer::v1::MemberState>(99)); })));
    EXPECT_TRUE(std::holds_alternative<malformed>(decode_datagram("\xff\xff", "m").error()));
    EXPECT_EQ(decode_datagram(std::string(1201, 'x'), "m").error(), datagram_error(too_large{1201, 1200}));
}

// Guards against sending a datagram that all receivers would reject as too large.
TEST(member_codec, rejects_encoding_an_oversized_datagram) {
    membership::datagram large{"h", membership::ping{}, std::vector<membership::member>(12, sample_member())};
    EXPECT_FALSE(encode_datagram(large, "m", sent));
}

// Guards against a field that is not encoded, and against buckets that do not exist.
TEST(member_codec, sync_messages_survive_round_trip) {
    const auto entry = std::make_shared<const membership::member>(sample_member());
    const membership::sync_request request{std::vector<std::uint64_t>(64, 5), {entry}, {8, 9}, true};
    peer::v1::SyncRequest request_message;
    write_sync_request(request, request_message);
    const auto request_read = read_sync_request(request_message);
    ASSERT_TRUE(request_read);
    EXPECT_EQ(request_read->bucket_hashes, request.bucket_hashes);
    EXPECT_EQ(request_read->wanted_entries, request.wanted_entries);
    EXPECT_TRUE(request_read->whole_table);
    EXPECT_EQ(*request_read->members.at(0), *entry);
    const membership::sync_reply reply{{0, 63}, {1, 2}, {entry}};
    peer::v1::SyncReply reply_message;
    write_sync_reply(reply, reply_message);
    const auto reply_read = read_sync_reply(reply_message);
    ASSERT_TRUE(reply_read);
    EXPECT_EQ(reply_read->differing_buckets, reply.differing_buckets);
    EXPECT_EQ(reply_read->entry_hashes, reply.entry_hashes);
    EXPECT_EQ(*reply_read->members.at(0), *entry);
    reply_message.add_differing_buckets(64);
    EXPECT_FALSE(read_sync_reply(reply_message));
    request_message.add_bucket_hashes(1);
    EXPECT_FALSE(read_sync_request(request_message));
}

} // namespace
} // namespace boragehollow::codec
