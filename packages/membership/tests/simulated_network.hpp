#pragma once

#include "boragehollow/membership/membership_engine.hpp"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace boragehollow::membership::testing {

/// Runs many engines in one process with a simulated clock, seeded loss of datagrams and partitions.
class simulated_network {
public:
    struct node {
        std::string host;
        std::string domain;
        common::endpoint address;
        std::unique_ptr<membership_engine> engine;
        bool running = true;
        bool paused = false;
        bool passive = false;                        ///< Replies to messages, but runs no timers.
        std::vector<std::function<void()>> deferred; ///< Messages that arrived during a pause.
        std::vector<member_event> events;
        std::vector<common::withdrawn_instance> told; ///< What other daemons told of an earlier process.
        std::size_t datagram_bytes = 0;
        std::size_t sync_bytes = 0;
        std::size_t received_bytes = 0;
        common::steady_time scheduled = common::steady_time::max();
    };

    // Bytes of the IP and UDP headers, and of the framing of a small gRPC message.
    static constexpr std::size_t udp_overhead = 28;
    static constexpr std::size_t grpc_overhead = 200;

    explicit simulated_network(std::uint64_t seed, membership_settings settings = {})
        : m_settings(settings), m_random(seed) {}

    node& start(const std::string& host, const std::string& domain,
                const std::vector<common::endpoint>& seeds = {});
    void start_domain(const std::string& domain, std::size_t count);
    node& at(const std::string& host) { return *m_nodes.at(host); }
    std::vector<node*> running();
    void kill(const std::string& host);
    void pause(const std::string& host) { at(host).paused = true; }
    void resume(const std::string& host);
    void run_for(std::chrono::milliseconds span);
    /// Runs until `done` returns true, in steps of 10 ms. Returns the time taken, or at least `limit` when it
    /// never does.
    std::chrono::milliseconds run_until(const std::function<bool()>& done, std::chrono::milliseconds limit);
    void perform(node& from, membership_effects effects);
    common::steady_time now() const { return m_now; }
    void reset_bytes();
    /// Returns the hosts that are in `state` in the member table of `observer`.
    std::set<std::string> in_state(const std::string& observer, member_state state);
    std::size_t events_of(member_event_kind kind);

    double loss = 0;
    std::chrono::milliseconds latency{1};
    std::function<bool(const node&, const node&)> blocked = [](const node&, const node&) { return false; };
    /// Returns the encoded size; by default the upper bound that the engine itself uses.
    std::function<std::size_t(const datagram&)> datagram_size = [](const datagram& value) {
        return estimated_size(value);
    };
    /// Returns the node that receives messages to an address without a node of its own.
    std::function<node*(const common::endpoint&)> route = [](const common::endpoint&) { return nullptr; };

private:
    struct event {
        common::steady_time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void run_after(std::chrono::milliseconds delay, std::function<void()> action);
    void schedule(node& scheduled_node);
    void deliver(node& from, const send_datagram& sent);
    void synchronize(node& from, const start_sync& wanted);
    void exchange(node& from, node& to, sync_request request);
    node* find(const common::endpoint& address);
    bool reachable(const node& from, const node& to) const { return to.running && !blocked(from, to); }
    static std::size_t bytes_of(const std::vector<member_ref>& members);

    membership_settings m_settings;
    common::random_source m_random;
    common::steady_time m_now{std::chrono::hours(1000)};
    common::wall_time m_wall_start{std::chrono::hours(400000)};
    std::uint64_t m_last_event_order = 0;
    std::uint16_t m_last_port = 1000;
    std::map<std::string, std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<node>> m_replaced_nodes;
    std::map<common::endpoint, node*> m_by_address;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
};

} // namespace boragehollow::membership::testing
