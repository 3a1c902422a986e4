#include "boragehollow/daemon/membership_duty.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace boragehollow::daemon {
namespace {

using namespace std::chrono_literals;

common::steady_time in(std::chrono::milliseconds span) {
    return common::steady_clock::now() + span;
}

/// A few daemons' membership on loopback; reconciliation goes from ring to ring in place of gRPC.
class membership_duty_test : public ::testing::Test {
protected:
    struct node {
        std::unique_ptr<membership_duty> duty;
        membership_view view;
    };

    void start(const std::string& host, const std::vector<common::endpoint>& seeds) {
        auto socket = transport::udp_socket::bind({"127.0.0.1", 0});
        ASSERT_TRUE(socket);
        const common::endpoint address = socket->local();
        membership_duty_settings settings;
        settings.mesh = "test";
        settings.self = {host, "a", address, address, membership::first_incarnation(common::wall_now())};
        settings.self.target = {"desk", {}, 6, membership::target_state::ready};
        settings.seeds = seeds;
        node& added = m_nodes[address];
        membership_sinks sinks;
        sinks.send_sync = [this, address](const common::endpoint& to, membership::sync_request request) {
            m_syncs.try_push(pending_sync{address, to, std::move(request)});
        };
        sinks.view_changed = [this, &added](const membership_view& view) {
            const std::lock_guard lock(m_mutex);
            added.view = view;
            m_changed.notify_all();
        };
        sinks.member_changed = [](const membership::member_event&) {};
        sinks.refused = [this](const common::endpoint&, const codec::datagram_error& error) {
            const std::lock_guard lock(m_mutex);
            m_refusals.push_back(codec::to_string(error));
            m_changed.notify_all();
        };
        sinks.socket_failed = [](const transport::transport_error&) {};
        added.duty = std::make_unique<membership_duty>(settings, std::move(*socket),
                                                       std::make_shared<common::hybrid_clock>(),
                                                       common::random_source::from_system(), sinks);
        m_hosts[host] = address;
    }

    void TearDown() override {
        m_syncs.close();
        m_sync_carrier.join();
        for (auto& [address, item] : m_nodes) {
            item.duty.reset();
        }
    }

    membership_duty& duty_of(const std::string& host) { return *m_nodes.at(m_hosts.at(host)).duty; }

    template <class Condition>
    bool eventually(const std::string& observer, Condition condition) {
        std::unique_lock lock(m_mutex);
        const node& watched = m_nodes.at(m_hosts.at(observer));
        return m_changed.wait_until(lock, in(15s),
                                    [&] { return watched.view.targets && condition(watched.view); });
    }

    struct pending_sync {
        common::endpoint from;
        common::endpoint to;
        membership::sync_request request;
    };

    void carry_syncs() {
        while (auto sync = m_syncs.pop()) {
            sync_requested message{std::move(sync->request), {}};
            const auto slot = message.reply;
            m_nodes.at(sync->to).duty->ring().try_push(membership_message(std::move(message)));
            if (auto reply = slot.wait_until(in(2s))) {
                m_nodes.at(sync->from)
                    .duty->ring()
                    .try_push(membership_message(sync_reply_arrived{sync->to, std::move(*reply)}));
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_refusals;
    std::map<common::endpoint, node> m_nodes;
    std::map<std::string, common::endpoint> m_hosts;
    common::bounded_ring<pending_sync> m_syncs{64};
    common::duty m_sync_carrier{"sync_carrier", [this](const std::stop_token&) { carry_syncs(); }};
};

// Guards the whole path: socket, decoding, ring, engine, encoding, socket.
TEST_F(membership_duty_test, daemons_find_each_other_and_learn_of_a_drain_and_a_departure) {
    {
        const std::lock_guard lock(m_mutex);
        start("h0", {});
        start("h1", {m_hosts.at("h0")});
        start("h2", {m_hosts.at("h0")});
    }
    const auto all_listed = [](const membership_view& view) {
        return view.targets->targets_of("desk").size() == 3;
    };
    for (const char* host : {"h0", "h1", "h2"}) {
        EXPECT_TRUE(eventually(host, all_listed)) << host;
    }
    const membership::target_announcement draining{"desk", {}, 6, membership::target_state::draining};
    duty_of("h1").ring().try_push(membership_message(announce_target{draining}));
    EXPECT_TRUE(eventually("h2", [](const membership_view& view) {
        return view.targets->targets_of("desk").at(1).state == membership::target_state::draining;
    }));
    leave_mesh leaving;
    duty_of("h1").ring().try_push(membership_message(leaving));
    EXPECT_TRUE(leaving.reply.wait_until(in(5s)));
    EXPECT_TRUE(eventually("h0", [](const membership_view& view) {
        return std::any_of(view.members->begin(), view.members->end(),
                           [](const membership::member_ref& value) {
                               return value->host == "h1" && value->state == membership::member_state::left;
                           });
    }));
}

// Guards against a daemon of another mesh that enters the table, and one broken datagram that stops the
// source.
TEST_F(membership_duty_test, refuses_datagrams_of_another_mesh_and_goes_on) {
    {
        const std::lock_guard lock(m_mutex);
        start("h0", {});
    }
    const auto stranger = transport::udp_socket::bind({"127.0.0.1", 0});
    const membership::member self{"s", "a", stranger->local(), stranger->local(), 1};
    const membership::datagram ping{"s", membership::ping{1, {9}}, {self}};
    ASSERT_TRUE(stranger->send(*codec::encode_datagram(ping, "other", {}), m_hosts.at("h0")));
    ASSERT_TRUE(stranger->send("no datagram", m_hosts.at("h0")));
    ASSERT_TRUE(stranger->send(*codec::encode_datagram(ping, "test", {}), m_hosts.at("h0")));
    const auto answer = stranger->receive_until(in(10s));
    ASSERT_TRUE(answer && std::holds_alternative<transport::received_datagram>(*answer));
    {
        const std::lock_guard lock(m_mutex);
        EXPECT_EQ(m_refusals.size(), 2U);
    }
    query_floor floor{"s", {}};
    duty_of("h0").ring().try_push(membership_message(floor));
    EXPECT_EQ(floor.reply.wait_until(in(5s)), common::revision{9});
}

} // namespace
} // namespace boragehollow::daemon
