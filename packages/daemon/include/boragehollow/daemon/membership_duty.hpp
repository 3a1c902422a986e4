#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/hybrid_clock.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/common/save_progress.hpp"
#include "boragehollow/common/traffic_counter.hpp"
#include "boragehollow/daemon/mesh_view.hpp"
#include "boragehollow/membership/membership_engine.hpp"
#include "boragehollow/peer/link_filter.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/transport/udp_socket.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::daemon {

struct datagram_received {
    membership::datagram value;
    common::endpoint from;
};

struct local_announcement_changed {
    membership::target_announcement target;
};

struct local_version_changed {
    common::revision version;
};

struct sync_requested {
    membership::sync_request request;
    common::reply_slot<membership::sync_reply> reply;
};

struct sync_replied {
    std::string host;
    common::endpoint peer;
    membership::sync_reply reply;
};

/// Query for the number of daemons of the own failure domain that have applied `version`.
struct progress_requested {
    common::revision version;
    common::reply_slot<membership::progress_counts> reply;
};

/// Table synchronization request whose sender does not block. `send_reply` is called on the membership thread
/// and must not block.
struct async_sync_requested {
    membership::sync_request request;
    std::function<void(const membership::sync_reply&)> send_reply;
};

/// Gossip endpoints of other daemons that were found in the registry after the start.
struct seeds_found {
    std::vector<common::endpoint> seeds;
};

/// This daemon observed an epoch of the platform log.
struct log_epoch_read {
    std::uint64_t epoch = 0;
};

/// A read of the platform's log at `read_at` found no version newer than the applied one.
struct log_read_confirmed {
    common::steady_time read_at;
};

/// Instances of the local target were withdrawn; other daemons are to keep them for a restart of this one.
struct instances_withdrawn {
    std::vector<common::withdrawn_instance> withdrawn;
    common::save_progress::attempt_ref attempt;
};

struct leave_mesh {};

using membership_message =
    std::variant<datagram_received, local_announcement_changed, local_version_changed, sync_requested,
                 sync_replied, progress_requested, async_sync_requested, seeds_found, log_epoch_read,
                 log_read_confirmed, instances_withdrawn, leave_mesh>;

/// Receivers of the membership duty's decisions. None of them may block.
struct membership_sinks {
    /// Sends a table synchronization request to a peer.
    std::function<void(const std::string& host, const common::endpoint& peer, membership::sync_request)> sync;
    /// `complete` is false until another daemon has sent its whole member table.
    std::function<void(std::shared_ptr<const membership::target_directory>, bool complete)> directory;
    std::function<void(std::shared_ptr<const mesh_view>)> mesh;
    /// A host reported the version that it has applied.
    std::function<void(const std::string& host, common::revision version)> version_observed;
    /// Gives this daemon's entry to a member; the attempt succeeds when the member holds it. Optional.
    std::function<void(const membership::member& keeper, membership::sync_request,
                       const common::save_progress::attempt_ref&)>
        replicate;
    /// Another daemon told which instances of the local target were withdrawn before the start. Optional.
    std::function<void(std::vector<common::withdrawn_instance>)> withdrawals_received;
    /// Another daemon observed a later epoch of the platform log than any known here. Optional.
    std::function<void(std::uint64_t epoch)> log_epoch_observed;
};

/// Owns two threads: one holds the member table and the failure detector, the other reads the UDP socket.
class membership_duty {
public:
    membership_duty(membership::membership_engine engine, transport::udp_socket socket, std::string mesh,
                    std::shared_ptr<common::hybrid_clock> clock,
                    std::shared_ptr<const peer::link_filter> links, std::size_t ring_size,
                    membership_sinks sinks, const telemetry::event_log& events);
    ~membership_duty();

    /// Ends the reception of datagrams, processes the queued messages and joins both threads. No sink is
    /// called afterwards.
    void stop();

    common::bounded_ring<membership_message>& ring() { return m_ring; }

    std::optional<membership::sync_reply> handle_sync_request(membership::sync_request request,
                                                              common::steady_time deadline);
    std::optional<membership::progress_counts> progress(common::revision version,
                                                        common::steady_time deadline);

    /// Time since the applied configuration was last known to be the newest one of the platform's log; empty
    /// before this is known for the first time. May be called on any thread.
    std::optional<common::steady_clock::duration> configuration_age(common::steady_time now) const;

    /// Gossip datagrams sent and received; the sizes exclude UDP and IP headers.
    const common::traffic_counter& traffic() const { return m_traffic; }

private:
    void run();
    void receive(const std::stop_token& stop);
    membership::membership_effects handle(membership_message& message, common::steady_time now);
    /// Adds withdrawn instances to the own entry and gives it to members that can keep it.
    membership::membership_effects replicate(const instances_withdrawn& message, common::steady_time now);
    void perform(const membership::membership_effects& effects, common::steady_time now);
    void send(const membership::send_datagram& effect);
    void report(const membership::member_event& event);
    void publish_mesh();

    membership::membership_engine m_engine;
    transport::udp_socket m_socket;
    std::string m_mesh;
    std::shared_ptr<common::hybrid_clock> m_clock;
    std::shared_ptr<const peer::link_filter> m_links;
    membership_sinks m_sinks;
    const telemetry::event_log& m_events;
    common::traffic_counter m_traffic;
    bool m_published_complete = false; ///< `complete` of the last published view.
    std::atomic<common::steady_time> m_last_log_read{common::steady_time::min()}; ///< `min` when unknown.
    common::bounded_ring<membership_message> m_ring;
    common::duty m_receiver;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
