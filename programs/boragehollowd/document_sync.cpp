#include "document_sync.hpp"

#include "boragehollow/codec/member_codec.hpp"

#include <peer.pb.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

/// Calls `receive` on the forwarder's thread with the reply; never if there is none.
void request_sync(document_pipeline::components& daemon, const std::string& host,
                  const common::endpoint& peer, const membership::sync_request& request,
                  std::function<void(membership::sync_reply)> receive) {
    peer::v1::SyncRequest message;
    codec::write_sync_request(request, message);
    daemon.forwarder->post(forwarding::send_control_request{
        peer, sync_path, message.SerializeAsString(), control_timeout,
        [&daemon, host, receive = std::move(receive)](std::optional<std::string> body) {
            peer::v1::SyncReply reply;
            if (!body || !reply.ParseFromString(*body)) {
                return;
            }
            auto decoded = codec::read_sync_reply(reply);
            if (!decoded) {
                daemon.events.emit(event_number::peer_message_invalid,
                                   {{"from", host}, {"detail", codec::to_string(decoded.error())}});
                return;
            }
            receive(std::move(*decoded));
        }});
}

} // namespace

void send_sync_request(document_pipeline::components& daemon, const std::string& host,
                       const common::endpoint& peer, const membership::sync_request& request) {
    request_sync(daemon, host, peer, request, [&daemon, host, peer](membership::sync_reply reply) {
        daemon.membership->ring().try_push(sync_replied{host, peer, std::move(reply)});
    });
}

void replicate_entry(document_pipeline::components& daemon, const membership::member& keeper,
                     const membership::sync_request& entry,
                     const common::save_progress::attempt_ref& attempt) {
    request_sync(daemon, keeper.host, keeper.peer, entry,
                 [&daemon, attempt, sent = entry.members.front(), host = keeper.host,
                  peer = keeper.peer](membership::sync_reply reply) {
                     // The reply has the keeper's own entry of this host if that differs from the sent one.
                     if (std::ranges::all_of(reply.members, [&](const membership::member_ref& kept) {
                             return kept->withdrawn == sent->withdrawn;
                         })) {
                         attempt->succeed();
                     }
                     daemon.membership->ring().try_push(sync_replied{host, peer, std::move(reply)});
                 });
}

} // namespace boragehollow::daemon
