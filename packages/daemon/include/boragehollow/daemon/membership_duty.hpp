#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/hybrid_clock.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/common/traffic_counter.hpp"
#include "boragehollow/daemon/mesh_view.hpp"
#include "boragehollow/membership/membership_engine.hpp"
#include "boragehollow/peer/link_filter.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/transport/udp_socket.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

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

struct progress_requested {
    common::revision version;
    common::reply_slot<membership::progress_counts> reply;
};

/// A reconciliation whose sender does not wait; `answer` is called on the membership thread and must not
/// wait.
struct async_sync_requested {
    membership::sync_request request;
    std::function<void(const membership::sync_reply&)> answer;
};

/// Gossip endpoints of other daemons, found after the start.
struct seeds_found {
    std::vector<common::endpoint> seeds;
};

struct leave_mesh {};

using membership_message =
    std::variant<datagram_received, local_announcement_changed, local_version_changed, sync_requested,
                 sync_replied, progress_requested, async_sync_requested, seeds_found, leave_mesh>;

/// Where the decisions of the membership duty go. None of the sinks may wait.
struct membership_sinks {
    std::function<void(const std::string& host, const common::endpoint& peer, membership::sync_request)> sync;
    std::function<void(std::shared_ptr<const membership::target_directory>)> directory;
    std::function<void(std::shared_ptr<const mesh_view>)> mesh;
    /// A host was heard to have applied a version.
    std::function<void(const std::string& host, common::revision version)> version_observed;
};

/// Thread that owns the member table and the failure detector, and the thread that reads its UDP socket.
class membership_duty {
public:
    membership_duty(membership::membership_engine engine, transport::udp_socket socket, std::string mesh,
                    std::shared_ptr<common::hybrid_clock> clock,
                    std::shared_ptr<const peer::link_filter> links, std::size_t ring_size,
                    membership_sinks sinks, const telemetry::event_log& events);
    ~membership_duty();

    /// Ends the thread after the messages that are queued; its sinks are not called afterwards.
    void stop();

    common::bounded_ring<membership_message>& ring() { return m_ring; }

    std::optional<membership::sync_reply> handle_sync_request(membership::sync_request request,
                                                              common::steady_time deadline);
    std::optional<membership::progress_counts> progress(common::revision version,
                                                        common::steady_time deadline);

    /// Datagrams without the headers of UDP and IP.
    const common::traffic_counter& traffic() const { return m_traffic; }

private:
    void run();
    void receive(const std::stop_token& stop);
    membership::membership_effects handle(membership_message& message, common::steady_time now);
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
    common::bounded_ring<membership_message> m_ring;
    common::duty m_receiver;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
