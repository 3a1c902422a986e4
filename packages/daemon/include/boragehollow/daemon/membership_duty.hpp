#pragma once

#include "boragehollow/codec/member_codec.hpp"
#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/hybrid_clock.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/membership/membership_engine.hpp"
#include "boragehollow/transport/udp_socket.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::daemon {

struct datagram_arrived {
    membership::datagram value;
    common::endpoint from;
};

/// The target on this host announced something else; an empty service means that there is none.
struct announce_target {
    membership::target_announcement announcement;
};

struct version_applied {
    common::revision applied;
};

/// Another daemon reconciles its table with this one.
struct sync_requested {
    membership::sync_request request;
    common::reply_slot<membership::sync_reply> reply;
};

struct sync_reply_arrived {
    common::endpoint peer;
    membership::sync_reply reply;
};

/// Counts of one ring-bound duty and its socket, for the metrics.
struct membership_traffic {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t send_failures = 0;
};

struct membership_status {
    membership::member self;
    membership::member_counts counts;
    membership_traffic traffic;
    std::vector<membership::member_ref> members;
};

struct query_membership {
    common::reply_slot<membership_status> reply;
};

/// How many daemons of this failure domain have applied `version`; complete only on a log reader.
struct query_progress {
    common::revision version;
    common::reply_slot<membership::progress_counts> reply;
};

struct query_floor {
    std::string host;
    common::reply_slot<common::revision> reply;
};

/// Tells the domain that this daemon leaves. The answer comes when the announcement has been sent.
struct leave_mesh {
    common::reply_slot<bool> reply;
};

using membership_message =
    std::variant<datagram_arrived, announce_target, version_applied, sync_requested, sync_reply_arrived,
                 query_membership, query_progress, query_floor, leave_mesh>;

/// Immutable view of the members and the targets.
struct membership_view {
    std::shared_ptr<const membership::target_directory> targets;
    std::shared_ptr<const std::vector<membership::member_ref>> members;
};

/// Where the effects go. All are called on the duty's thread, but `refused`, which the UDP source calls. None
/// may wait.
struct membership_sinks {
    /// Sends the request over gRPC; the reply comes back as `sync_reply_arrived`.
    std::function<void(const common::endpoint& peer, membership::sync_request request)> send_sync;
    std::function<void(const membership_view&)> view_changed;
    std::function<void(const membership::member_event&)> member_changed;
    std::function<void(const common::endpoint& from, const codec::datagram_error&)> refused;
    std::function<void(const transport::transport_error&)> socket_failed;
};

struct membership_duty_settings {
    std::string mesh;
    membership::member self;
    std::vector<common::endpoint> seeds;
    membership::engine_settings engine;
    std::size_t ring_size = 4096;
};

/// Thread that owns the membership engine, and the UDP source that feeds it. `socket` is bound to the
/// member's gossip endpoint.
class membership_duty {
public:
    membership_duty(membership_duty_settings settings, transport::udp_socket socket,
                    std::shared_ptr<common::hybrid_clock> clock, common::random_source random,
                    membership_sinks sinks);
    ~membership_duty();

    membership_duty(const membership_duty&) = delete;
    membership_duty& operator=(const membership_duty&) = delete;

    /// Full: the message is dropped and counted; probes and reconciliation repair what was missed.
    common::bounded_ring<membership_message>& ring() { return m_ring; }

private:
    void run();
    void receive_datagrams(const std::stop_token& stop);
    void take_datagram(const transport::received_datagram& received);

    void handle(const datagram_arrived& message, common::steady_time now);
    void handle(announce_target& message, common::steady_time now);
    void handle(const version_applied& message, common::steady_time now);
    void handle(const sync_requested& message, common::steady_time now);
    void handle(const sync_reply_arrived& message, common::steady_time now);
    void handle(const query_membership& message, common::steady_time now);
    void handle(const query_progress& message, common::steady_time now);
    void handle(const query_floor& message, common::steady_time now);
    void handle(const leave_mesh& message, common::steady_time now);

    void deliver(const membership::membership_effects& effects, common::steady_time now);
    void deliver_one(const membership::send_datagram& effect, common::steady_time now);
    void deliver_one(const membership::start_sync& effect, common::steady_time now);
    void deliver_one(const membership::directory_changed& effect, common::steady_time now);
    void deliver_one(const membership::member_event& effect, common::steady_time now);

    std::string m_mesh;
    std::shared_ptr<common::hybrid_clock> m_clock;
    membership_sinks m_sinks;
    transport::udp_socket m_socket;
    membership::membership_engine m_engine;
    membership_traffic m_traffic;
    common::bounded_ring<membership_message> m_ring;
    // Declared last: the threads use everything above, and are joined first.
    common::duty m_thread;
    common::duty m_source;
};

} // namespace boragehollow::daemon
