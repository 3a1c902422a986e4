#include "boragehollow/codec/spreading_codec.hpp"

#include "peer.pb.h"

#include <gtest/gtest.h>

namespace boragehollow::codec {
namespace {

using namespace std::chrono_literals;

spreading::pull_reply round_trip(const spreading::pull_reply& reply) {
    peer::v1::PullReply message;
    write_pull_reply(reply, message);
    const auto read = read_pull_reply(message);
    EXPECT_TRUE(read.has_value());
    return read.value_or(spreading::pull_reply{});
}

// Guards against a field that is not encoded, and against a pushed record without an offset.
TEST(spreading_codec, requests_survive_round_trip) {
    peer::v1::PullRequest pull;
    write_pull_request({"h1", common::revision{4}, 99, "h1"}, pull);
    const spreading::pull_request read = read_pull_request(pull);
    EXPECT_EQ(read.from_host, "h1");
    EXPECT_EQ(read.version, common::revision{4});
    EXPECT_EQ(read.digest, 99U);
    EXPECT_EQ(read.floor_of_host, "h1");
    peer::v1::PushRequest push;
    write_push_request({{common::revision{4}, std::make_shared<const std::string>("x")}}, push);
    EXPECT_EQ(*read_push_request(push)->at(0).bytes, "x");
    push.mutable_records(0)->set_offset(0);
    EXPECT_FALSE(read_push_request(push));
}

// Guards against a reply that is decoded as another kind or without its version floor. Without the floor a
// restarted daemon could serve an older version than it served before the restart.
TEST(spreading_codec, every_kind_of_pull_reply_survives_round_trip) {
    const auto bytes = std::make_shared<const std::string>("x");
    const spreading::pull_reply base{{}, common::revision{5}, 7, true, common::revision{4}};
    const spreading::pull_reply nothing = round_trip(base);
    EXPECT_TRUE(std::holds_alternative<spreading::nothing_newer>(nothing.body));
    EXPECT_TRUE(nothing.responder_ready);
    EXPECT_EQ(nothing.floor, common::revision{4});
    spreading::pull_reply reply = base;
    reply.body = spreading::newer_records{{{common::revision{5}, bytes}}};
    EXPECT_EQ(std::get<spreading::newer_records>(round_trip(reply).body).records.size(), 1U);
    reply.body = spreading::encoded_snapshot{common::revision{5}, 7, bytes};
    const auto snapshot = std::get<spreading::encoded_snapshot>(round_trip(reply).body);
    EXPECT_EQ(snapshot.version, common::revision{5});
    EXPECT_EQ(snapshot.digest, 7U);
    EXPECT_EQ(*snapshot.bytes, "x");
    reply.body = spreading::retry_later{300ms};
    EXPECT_EQ(std::get<spreading::retry_later>(round_trip(reply).body).delay, 300ms);
}

} // namespace
} // namespace boragehollow::codec
