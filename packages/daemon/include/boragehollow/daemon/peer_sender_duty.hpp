#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/shared_snapshot.hpp"
#include "boragehollow/daemon/mesh_view.hpp"
#include "boragehollow/membership/synchronization.hpp"
#include "boragehollow/peer/control_client.hpp"
#include "boragehollow/spreading/effects.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <variant>

namespace boragehollow::daemon {

/// Table synchronization request of the membership duty.
struct send_sync {
    std::string host;
    common::endpoint peer;
    membership::sync_request request;
};

using peer_sender_message = std::variant<spreading::push, spreading::pull, send_sync>;

/// Receivers of the replies. Called on gRPC threads, so they only push a message to a ring.
struct peer_sender_sinks {
    std::function<void(std::uint64_t id, const std::string& peer,
                       tl::expected<spreading::pull_reply, std::string> reply)>
        pull_completed;
    std::function<void(const send_sync& request, tl::expected<membership::sync_reply, std::string> reply)>
        sync_completed;
};

struct peer_sender_settings {
    std::chrono::milliseconds timeout{2'000};
    /// Longer than `timeout`, since the reply may hold the snapshot of a large configuration.
    std::chrono::milliseconds pull_timeout{8'000};
    std::size_t ring_size = 1'024;
};

/// Thread that sends control requests to other daemons.
class peer_sender_duty {
public:
    peer_sender_duty(peer_sender_settings settings, peer::control_client& client,
                     const common::shared_snapshot<mesh_view>& mesh, peer_sender_sinks sinks);
    ~peer_sender_duty();

    /// Processes the queued messages and joins the thread. The sinks may still be called with the replies to
    /// requests that are outstanding.
    void stop();

    common::bounded_ring<peer_sender_message>& ring() { return m_ring; }

private:
    void run();
    void handle(const spreading::push& message);
    void handle(const spreading::pull& message);
    void handle(const send_sync& message);
    std::optional<common::endpoint> resolve(const std::string& host) const;

    peer_sender_settings m_settings;
    peer::control_client& m_client;
    const common::shared_snapshot<mesh_view>& m_mesh;
    peer_sender_sinks m_sinks;
    common::bounded_ring<peer_sender_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
