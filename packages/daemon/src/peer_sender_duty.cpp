#include "boragehollow/daemon/peer_sender_duty.hpp"

#include "boragehollow/codec/member_codec.hpp"
#include "boragehollow/codec/spreading_codec.hpp"

#include <peer.pb.h>

#include <optional>
#include <utility>

namespace boragehollow::daemon {

peer_sender_duty::peer_sender_duty(peer_sender_settings settings, peer::control_client& client,
                                   const common::shared_snapshot<mesh_view>& mesh, peer_sender_sinks sinks)
    : m_settings(settings), m_client(client), m_mesh(mesh), m_sinks(std::move(sinks)),
      m_ring(settings.ring_size), m_thread("peer_sender", [this](const std::stop_token&) { run(); }) {}

peer_sender_duty::~peer_sender_duty() {
    stop();
}

void peer_sender_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void peer_sender_duty::run() {
    while (auto message = m_ring.pop()) {
        std::visit([&](const auto& concrete) { handle(concrete); }, *message);
    }
}

std::optional<common::endpoint> peer_sender_duty::resolve(const std::string& host) const {
    const auto mesh = m_mesh.load();
    const membership::member* known = mesh ? mesh->find(host) : nullptr;
    return known == nullptr ? std::nullopt : std::optional<common::endpoint>(known->peer);
}

void peer_sender_duty::handle(const spreading::push& message) {
    peer::v1::PushRequest request;
    codec::write_push_request(message.records, request);
    for (const std::string& host : message.peers) {
        const auto remote = resolve(host);
        if (!remote) {
            continue;
        }
        // The receiver's next pull makes up for a lost push.
        m_client.push(*remote, request, m_settings.timeout, [](const auto&) {});
    }
}

void peer_sender_duty::handle(const spreading::pull& message) {
    const auto remote = resolve(message.peer);
    if (!remote) {
        m_sinks.pull_completed(message.id, message.peer, tl::unexpected(std::string("the host is unknown")));
        return;
    }
    peer::v1::PullRequest request;
    codec::write_pull_request(message.request, request);
    m_client.pull(*remote, std::move(request), m_settings.pull_timeout,
                  [this, id = message.id,
                   peer = message.peer](tl::expected<peer::v1::PullReply, peer::control_error> reply) {
                      if (!reply) {
                          m_sinks.pull_completed(id, peer, tl::unexpected(reply.error().detail));
                          return;
                      }
                      m_sinks.pull_completed(id, peer, codec::read_pull_reply(*reply));
                  });
}

void peer_sender_duty::handle(const send_sync& message) {
    peer::v1::SyncRequest request;
    codec::write_sync_request(message.request, request);
    m_client.sync(message.peer, std::move(request), m_settings.timeout,
                  [this, message](tl::expected<peer::v1::SyncReply, peer::control_error> reply) {
                      if (!reply) {
                          m_sinks.sync_completed(message, tl::unexpected(reply.error().detail));
                          return;
                      }
                      auto decoded = codec::read_sync_reply(*reply);
                      if (!decoded) {
                          m_sinks.sync_completed(message, tl::unexpected(codec::to_string(decoded.error())));
                          return;
                      }
                      m_sinks.sync_completed(message, std::move(*decoded));
                  });
}

} // namespace boragehollow::daemon
