#include "boragehollow/peer/call_exchange.hpp"
#include "boragehollow/peer/channel_pool.hpp"
#include "boragehollow/peer/peer_server.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace boragehollow::peer {
namespace {

using namespace std::chrono_literals;

peer_identity identity(const std::string& mesh = "test") {
    return {mesh, "host-a", std::make_shared<common::hybrid_clock>()};
}

common::steady_time soon() {
    return common::steady_clock::now() + 5s;
}

struct fixture {
    explicit fixture(std::function<void(call_head, call_request_part, call_stream&)> serve) {
        peer_handlers handlers;
        handlers.call = std::move(serve);
        handlers.refused = [](const std::string&, const std::string&) {};
        auto started = peer_server::start({{"127.0.0.1", 0}, 16}, identity(), handlers);
        EXPECT_TRUE(started) << started.error();
        server = std::move(*started);
    }

    std::shared_ptr<link_filter> links = std::make_shared<link_filter>();
    channel_pool channels{8, links};
    std::unique_ptr<peer_server> server;
};

call_request_part first_part(std::string data, bool end) {
    call_head head;
    head.call_id = "c1";
    head.service = "order-desk";
    head.remaining = 5s;
    head.has_body = !data.empty();
    return {head, std::move(data), end};
}

void echo(call_head head, call_request_part part, call_stream& stream) {
    std::string body = part.data;
    while (!part.end) {
        auto next = stream.read();
        if (!next) {
            return;
        }
        part = std::move(*next);
        body += part.data;
    }
    call_reply_part reply;
    reply.head = reply_head{200, {{"X-Call", head.call_id}}, body.size()};
    reply.data = body;
    reply.end = true;
    stream.write(reply);
}

// Guards against body parts that are lost or reordered between the two daemons, and against a reply that
// loses its headers or its end.
TEST(call_exchange, passes_parts_in_both_directions) {
    fixture mesh(echo);
    const auto channel = mesh.channels.connected_channel(mesh.server->local_endpoint(), 2s);
    ASSERT_TRUE(channel);
    call_exchange exchange;
    exchange.start(channel, identity(), first_part("one", false), common::wall_now() + 5s);
    std::optional<call_reply_part> reply;
    while (!reply) {
        const auto event = exchange.next_event(soon());
        ASSERT_TRUE(event);
        if (std::holds_alternative<write_completed>(event->payload) && !reply) {
            static int writes = 0;
            if (writes++ == 0) {
                exchange.write(0, {std::nullopt, "two", true});
            }
            continue;
        }
        if (const auto* arrived = std::get_if<reply_received>(&event->payload)) {
            reply = arrived->part;
        }
    }
    EXPECT_EQ(reply->data, "onetwo");
    EXPECT_EQ(reply->head->headers.front().second, "c1");
    EXPECT_TRUE(reply->end);
}

// Guards against a call that cannot be retried because its daemon is found to be down only after the request
// was sent: the connection must be checked first.
TEST(channel_pool, reports_a_refused_connection_before_anything_is_sent) {
    common::endpoint closed;
    {
        fixture mesh(echo);
        closed = mesh.server->local_endpoint();
    }
    channel_pool channels(8, std::make_shared<link_filter>());
    EXPECT_EQ(channels.connected_channel(closed, 2s), nullptr);
}

// Guards against a simulated partition that new channels ignore, or that outlasts its end.
TEST(channel_pool, blocked_link_gives_no_channel) {
    fixture mesh(echo);
    mesh.links->set_blocked({mesh.server->local_endpoint()});
    EXPECT_EQ(mesh.channels.connected_channel(mesh.server->local_endpoint(), 1s), nullptr);
    mesh.links->set_blocked({});
    EXPECT_NE(mesh.channels.connected_channel(mesh.server->local_endpoint(), 1s), nullptr);
}

// Guards against "not run" for a stream that ends without a final message after the request was sent: the
// call may have run.
TEST(call_exchange, stream_without_final_message_is_lost_with_unknown_outcome) {
    fixture mesh([](const call_head&, const call_request_part&, call_stream&) {});
    const auto channel = mesh.channels.connected_channel(mesh.server->local_endpoint(), 2s);
    ASSERT_TRUE(channel);
    call_exchange exchange;
    exchange.start(channel, identity(), first_part("", true), common::wall_now() + 5s);
    while (true) {
        const auto event = exchange.next_event(soon());
        ASSERT_TRUE(event);
        if (const auto* lost = std::get_if<stream_lost>(&event->payload)) {
            EXPECT_FALSE(lost->not_run);
            return;
        }
    }
}

// Guards against an unknown outcome when the server rejects the header before it runs the call.
TEST(call_exchange, another_mesh_is_refused_as_not_run) {
    fixture mesh(echo);
    const auto channel = mesh.channels.connected_channel(mesh.server->local_endpoint(), 2s);
    ASSERT_TRUE(channel);
    call_exchange exchange;
    exchange.start(channel, identity("other"), first_part("", true), common::wall_now() + 5s);
    while (true) {
        const auto event = exchange.next_event(soon());
        ASSERT_TRUE(event);
        if (const auto* lost = std::get_if<stream_lost>(&event->payload)) {
            EXPECT_TRUE(lost->not_run);
            return;
        }
    }
}

// Guards against a hedged call that waits for the slow first attempt: the reply of the second attempt must be
// delivered first.
TEST(call_exchange, reply_of_the_faster_attempt_is_delivered_first) {
    fixture mesh([](const call_head& head, const call_request_part&, call_stream& stream) {
        call_reply_part reply;
        reply.head = reply_head{200, {}, 0U};
        reply.end = true;
        if (head.attempt == 1) {
            std::this_thread::sleep_for(200ms);
        }
        stream.write(reply);
    });
    const auto channel = mesh.channels.connected_channel(mesh.server->local_endpoint(), 2s);
    ASSERT_TRUE(channel);
    call_exchange exchange;
    call_request_part second = first_part("", true);
    second.head->attempt = 2;
    exchange.start(channel, identity(), first_part("", true), common::wall_now() + 5s);
    exchange.start(channel, identity(), second, common::wall_now() + 5s);
    while (true) {
        const auto event = exchange.next_event(soon());
        ASSERT_TRUE(event);
        if (std::holds_alternative<reply_received>(event->payload)) {
            EXPECT_EQ(event->attempt, 1U);
            return;
        }
    }
}

} // namespace
} // namespace boragehollow::peer
