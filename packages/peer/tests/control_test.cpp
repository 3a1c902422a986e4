#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/peer/control_client.hpp"
#include "boragehollow/peer/peer_server.hpp"

#include <gtest/gtest.h>
#include <peer.pb.h>

namespace boragehollow::peer {
namespace {

using namespace std::chrono_literals;

peer_identity identity(const std::string& mesh) {
    return {mesh, "host-a", std::make_shared<common::hybrid_clock>()};
}

using pull_result = tl::expected<v1::PullReply, control_error>;

pull_result pull_once(const std::string& client_mesh, bool server_answers) {
    peer_handlers handlers;
    handlers.pull = [&](const v1::PullRequest& request, v1::PullReply& reply) {
        reply.set_responder_version(request.version() + 1);
        return server_answers;
    };
    handlers.refused = [](const std::string&, const std::string&) {};
    auto server = peer_server::start({{"127.0.0.1", 0}, 16}, identity("test"), handlers);
    EXPECT_TRUE(server);
    auto channels = std::make_shared<channel_pool>(4, std::make_shared<link_filter>());
    control_client client(identity(client_mesh), channels);
    v1::PullRequest request;
    request.set_version(6);
    const common::reply_slot<pull_result> slot;
    client.pull((*server)->local_endpoint(), request, 2s,
                [slot](pull_result result) { slot.set(std::move(result)); });
    auto result = slot.wait_until(common::steady_clock::now() + 5s);
    EXPECT_TRUE(result);
    return *result;
}

// Guards against a request or a reply whose fields are lost.
TEST(control_client, receives_the_reply) {
    const auto result = pull_once("test", true);
    ASSERT_TRUE(result) << result.error().detail;
    EXPECT_EQ(result->responder_version(), 7U);
}

// Guards against control traffic that one side, or one direction, does not count.
TEST(control_client, both_sides_count_the_same_bytes) {
    peer_handlers handlers;
    handlers.pull = [](const v1::PullRequest&, v1::PullReply& reply) {
        reply.set_responder_version(7);
        return true;
    };
    handlers.refused = [](const std::string&, const std::string&) {};
    auto server = peer_server::start({{"127.0.0.1", 0}, 16}, identity("test"), handlers);
    ASSERT_TRUE(server);
    auto channels = std::make_shared<channel_pool>(4, std::make_shared<link_filter>());
    control_client client(identity("test"), channels);
    const common::reply_slot<pull_result> slot;
    client.pull((*server)->local_endpoint(), {}, 2s,
                [slot](pull_result result) { slot.set(std::move(result)); });
    ASSERT_TRUE(slot.wait_until(common::steady_clock::now() + 5s));
    const auto sent = client.traffic().read();
    const auto served = (*server)->control_traffic().read();
    EXPECT_GT(sent.sent_bytes, 0U);
    EXPECT_EQ(sent.sent_bytes, served.received_bytes);
    EXPECT_EQ(sent.received_bytes, served.sent_bytes);
    EXPECT_EQ(served.sent_messages, 1U);
}

// Guards against an empty reply that is taken for a valid one when the handler was too busy.
TEST(control_client, busy_daemon_gives_an_error) {
    EXPECT_FALSE(pull_once("test", false));
}

// Guards against configuration that is exchanged between two meshes which share a network by mistake.
TEST(control_client, another_mesh_is_refused) {
    const auto result = pull_once("other", true);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().detail, "another mesh");
}

} // namespace
} // namespace boragehollow::peer
