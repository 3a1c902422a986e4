#include "boragehollow/codec/change_codec.hpp"
#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/codec/log_codec.hpp"
#include "boragehollow/codec/member_codec.hpp"
#include "boragehollow/codec/spreading_codec.hpp"
#include "boragehollow/codec/state_codec.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/config/config_state.hpp"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <algorithm>

// Decoding corrupt input must return an error or a value, and a decoded value must survive a further round
// trip. Otherwise two daemons could hold different values for the same bytes.
namespace boragehollow::codec {
namespace {

constexpr std::uint64_t first_seed = 1;
constexpr int iterations = 3'000;
constexpr common::hybrid_time sent{common::wall_time(std::chrono::microseconds(1'790'000'000'000'000)), 3};

/// Corrupts one to four places: flips bits, truncates, duplicates, erases, inserts, or overwrites with 0xff.
std::string mutate(std::string bytes, common::random_source& random) {
    const std::size_t mutations = 1 + random.index(4);
    for (std::size_t i = 0; i < mutations && !bytes.empty(); ++i) {
        const std::size_t at = random.index(bytes.size());
        const std::size_t length = 1 + random.index(std::min<std::size_t>(16, bytes.size() - at));
        switch (random.index(6)) {
        case 0:
            bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1U << random.index(8)));
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, length));
            break;
        case 3:
            bytes.erase(at, length);
            break;
        case 4:
            bytes.insert(at, length, static_cast<char>(random.index(256)));
            break;
        default:
            bytes.replace(at, length, length, '\xff');
            break;
        }
    }
    return bytes;
}

template <class Check>
void fuzz(const std::vector<std::string>& valid, const Check& check) {
    for (const std::string& bytes : valid) {
        ASSERT_TRUE(check(bytes));
    }
    std::size_t accepted = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + iterations; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        common::random_source random(seed);
        accepted += check(mutate(valid[random.index(valid.size())], random)) ? 1 : 0;
        if (::testing::Test::HasFailure()) {
            return;
        }
    }
    // If every input were rejected, the round trip would not be tested.
    EXPECT_GT(accepted, 0U);
    std::printf("accepted %zu of %d mutated inputs\n", accepted, iterations);
}

config::change sample_change() {
    config::change value{"id-1", "ana", 1, {}};
    value.operations.emplace_back(
        config::put_operation{config::service_policy{.name = "orders"}, config::revision{0}});
    value.operations.emplace_back(config::put_operation{
        config::route{.name = "r", .host = "desk.example", .methods = {"GET"}, .service = "orders"}, {}});
    value.operations.emplace_back(config::put_operation{
        config::target_rule{.name = "t", .service = "orders", .labels = {{"a", "1"}}}, {}});
    value.operations.emplace_back(
        config::delete_operation{{config::resource_kind::route, "old"}, config::revision{4}});
    return value;
}

membership::member sample_member() {
    membership::member value{"host-1",
                             "domain-1",
                             {"fd00::1:2", 65535},
                             {"10.0.0.1", 7001},
                             membership::first_incarnation(sent.wall)};
    value.target = {"orders", {{"version", "v1"}}, 6, membership::target_state::ready};
    return value;
}

std::vector<spreading::log_record> sample_records() {
    return {{common::revision{4}, std::make_shared<const std::string>("record")},
            {common::revision{5}, std::make_shared<const std::string>(std::string(200, '\0'))}};
}

TEST(fuzz, change_codec_survives_mutated_records) {
    fuzz({*encode_change(sample_change())}, [](const std::string& bytes) {
        const auto value = decode_change(bytes, 1);
        if (!value) {
            return false;
        }
        const auto again = encode_change(*value);
        EXPECT_TRUE(again);
        if (again && value->schema == 1) {
            EXPECT_EQ(decode_change(*again, 1), *value);
        }
        // Applying a decoded change yields a verdict, accepted or rejected, and never an error.
        config::config_state state;
        EXPECT_TRUE(state.apply(config::revision{1}, *value));
        return true;
    });
}

TEST(fuzz, state_codec_survives_mutated_states_and_chunks) {
    config::config_state state;
    EXPECT_TRUE(state.apply(config::revision{1}, sample_change()));
    config::change dangling{"dangling", "eva", 1, {}};
    dangling.operations.emplace_back(
        config::put_operation{config::route{.name = "x", .service = "missing"}, {}});
    EXPECT_TRUE(state.apply(config::revision{2}, dangling));
    config::change accepted{"policy", "eva", 1, {}};
    accepted.operations.emplace_back(config::put_operation{config::service_policy{.name = "orders"}, {}});
    EXPECT_TRUE(state.apply(config::revision{3}, accepted));
    fuzz({encode_state(*state.snapshot())}, [](const std::string& bytes) {
        const auto value = decode_state(bytes);
        if (!value) {
            return false;
        }
        const std::string again = encode_state(**value);
        const auto second = decode_state(again);
        EXPECT_TRUE(second);
        if (second) {
            EXPECT_EQ(encode_state(**second), again);
        }
        return true;
    });
    // All mutated chunks go to one assembler, which must keep a bounded number of incomplete states.
    const std::string chunk = split_state(*state.snapshot()).front();
    snapshot_assembler assembler;
    fuzz({chunk}, [&](const std::string& bytes) {
        const auto added = assembler.add(bytes);
        EXPECT_LE(assembler.pending(), 5U);
        return added.has_value();
    });
}

TEST(fuzz, member_codec_survives_mutated_datagrams) {
    const std::vector<membership::member> members{sample_member()};
    std::vector<std::string> valid;
    for (const membership::datagram& value : std::vector<membership::datagram>{
             {"h", membership::ping{7, {42}}, members},
             {"h", membership::ack{7, {42}, "other"}, members},
             {"h", membership::indirect_ping{7, {42}, "other"}, {}},
             {"h", membership::progress_report{{42}, {{{41}, {1, 2, 3}}}}, members}}) {
        valid.push_back(*encode_datagram(value, "m", sent));
    }
    fuzz(valid, [](const std::string& bytes) {
        const auto value = decode_datagram(bytes, "m");
        if (!value) {
            return false;
        }
        const auto again = encode_datagram(value->value, "m", value->sent);
        if (again) {
            EXPECT_EQ(decode_datagram(*again, "m"), *value);
        }
        return true;
    });
}

TEST(fuzz, member_codec_survives_mutated_sync_requests) {
    membership::sync_request request;
    request.members = {std::make_shared<const membership::member>(sample_member())};
    request.wanted_entries = {1, 2, 3};
    peer::v1::SyncRequest message;
    write_sync_request(request, message);
    fuzz({message.SerializeAsString()}, [](const std::string& bytes) {
        peer::v1::SyncRequest mutated;
        if (!mutated.ParseFromString(bytes)) {
            return false;
        }
        const auto value = read_sync_request(mutated);
        if (!value) {
            return false;
        }
        peer::v1::SyncRequest written;
        write_sync_request(*value, written);
        const auto again = read_sync_request(written);
        EXPECT_TRUE(again);
        EXPECT_TRUE(again && again->wanted_entries == value->wanted_entries &&
                    again->members.size() == value->members.size());
        return true;
    });
}

TEST(fuzz, spreading_codec_survives_mutated_pull_replies) {
    std::vector<std::string> valid;
    for (const spreading::pull_reply_body& body : std::vector<spreading::pull_reply_body>{
             spreading::newer_records{sample_records()},
             spreading::encoded_snapshot{common::revision{5}, 7, sample_records()[0].bytes},
             spreading::retry_later{std::chrono::milliseconds(200)}}) {
        peer::v1::PullReply message;
        write_pull_reply({body, common::revision{5}, 7, true, common::revision{4}}, message);
        valid.push_back(message.SerializeAsString());
    }
    fuzz(valid, [](const std::string& bytes) {
        peer::v1::PullReply mutated;
        if (!mutated.ParseFromString(bytes)) {
            return false;
        }
        const auto value = read_pull_reply(mutated);
        if (!value) {
            return false;
        }
        if (const auto* later = std::get_if<spreading::retry_later>(&value->body)) {
            EXPECT_GE(later->delay.count(), 0);
            EXPECT_LE(later->delay, std::chrono::hours(1));
        }
        peer::v1::PullReply written;
        write_pull_reply(*value, written);
        const auto again = read_pull_reply(written);
        EXPECT_TRUE(again);
        EXPECT_TRUE(again && again->body.index() == value->body.index() && again->floor == value->floor &&
                    again->responder_version == value->responder_version);
        return true;
    });
}

TEST(fuzz, log_codec_survives_mutated_pages_and_replies) {
    fuzz({encode_log_page({common::revision{3}, common::revision{6}, sample_records()})},
         [](const std::string& bytes) {
             const auto value = decode_log_page(bytes);
             if (!value) {
                 return false;
             }
             const auto again = decode_log_page(encode_log_page(*value));
             EXPECT_TRUE(again);
             EXPECT_TRUE(again && again->records.size() == value->records.size() &&
                         again->next_offset == value->next_offset);
             return true;
         });
    fuzz({encode_append_reply(common::revision{123'456})}, [](const std::string& bytes) {
        const auto value = decode_append_reply(bytes);
        EXPECT_TRUE(!value || decode_append_reply(encode_append_reply(*value)) == *value);
        return value.has_value();
    });
}

TEST(fuzz, resource_json_survives_mutated_documents) {
    std::vector<std::string> valid;
    for (const config::operation& operation : sample_change().operations) {
        if (const auto* put = std::get_if<config::put_operation>(&operation)) {
            valid.push_back(dump_json(to_json(put->value)));
        }
    }
    fuzz(valid, [](const std::string& text) {
        const auto document = parse_json(text);
        if (!document) {
            return false;
        }
        const auto value = from_json<config::resource>(*document);
        if (!value) {
            EXPECT_LE(value.error().size(), 100U);
            return false;
        }
        const auto again = parse_json(dump_json(to_json(*value)));
        EXPECT_TRUE(again);
        EXPECT_TRUE(again && from_json<config::resource>(*again) == *value);
        return true;
    });
}

} // namespace
} // namespace boragehollow::codec
