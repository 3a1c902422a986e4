#include "boragehollow/codec/spreading_codec.hpp"

#include "peer.pb.h"

#include <gtest/gtest.h>

namespace boragehollow::codec {
namespace {

using namespace std::chrono_literals;

spreading::pull_reply round_trip(const spreading::pull_reply& answer) {
    peer::v1::PullReply message;
    write_pull_reply(answer, message);
    const auto read = read_pull_reply(message);
    EXPECT_TRUE(read.has_value());
    return read.value_or(spreading::pull_reply{});
}

TEST(spreading_codec, requests_survive_the_round_trip) {
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

// Each kind of answer has to arrive as the same kind, with the version floor that G1 rests on.
TEST(spreading_codec, each_kind_of_answer_survives_the_round_trip) {
    const auto bytes = std::make_shared<const std::string>("x");
    const spreading::pull_reply base{{}, common::revision{5}, 7, true, common::revision{4}};
    const spreading::pull_reply nothing = round_trip(base);
    EXPECT_TRUE(std::holds_alternative<spreading::nothing_newer>(nothing.body));
    EXPECT_TRUE(nothing.responder_ready);
    EXPECT_EQ(nothing.floor, common::revision{4});
    spreading::pull_reply answer = base;
    answer.body = spreading::newer_records{{{common::revision{5}, bytes}}};
    EXPECT_EQ(std::get<spreading::newer_records>(round_trip(answer).body).records.size(), 1U);
    answer.body = spreading::encoded_snapshot{common::revision{5}, 7, bytes};
    const auto snapshot = std::get<spreading::encoded_snapshot>(round_trip(answer).body);
    EXPECT_EQ(snapshot.version, common::revision{5});
    EXPECT_EQ(snapshot.digest, 7U);
    EXPECT_EQ(*snapshot.bytes, "x");
    answer.body = spreading::retry_later{300ms};
    EXPECT_EQ(std::get<spreading::retry_later>(round_trip(answer).body).delay, 300ms);
}

} // namespace
} // namespace boragehollow::codec
