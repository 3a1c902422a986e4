#include "boragehollow/daemon/peer_frontend.hpp"

#include "boragehollow/codec/member_codec.hpp"
#include "boragehollow/codec/spreading_codec.hpp"
#include "boragehollow/daemon/timeline_codec.hpp"

#include <peer.pb.h>

#include <memory>
#include <utility>

namespace boragehollow::daemon {

namespace {

/// Shared by all handlers, which gRPC calls concurrently on its own threads.
using shared_callbacks = std::shared_ptr<const peer_frontend_callbacks>;

std::function<bool(const peer::v1::PushRequest&)> push_handler(const shared_callbacks& callbacks,
                                                               const telemetry::event_log& events) {
    return [callbacks, &events](const peer::v1::PushRequest& request) {
        auto records = codec::read_push_request(request);
        if (!records) {
            events.emit(telemetry::event_number::peer_message_invalid,
                        {{"from", request.header().from_host()}, {"detail", records.error()}});
            return false;
        }
        return callbacks->push(request.header().from_host(), std::move(*records));
    };
}

std::function<bool(const peer::v1::PullRequest&, peer::v1::PullReply&)>
pull_handler(const shared_callbacks& callbacks) {
    return [callbacks](const peer::v1::PullRequest& request, peer::v1::PullReply& reply) {
        const auto result = callbacks->pull(codec::read_pull_request(request));
        if (!result) {
            return false;
        }
        codec::write_pull_reply(*result, reply);
        return true;
    };
}

std::function<bool(const peer::v1::SyncRequest&, peer::v1::SyncReply&)>
sync_handler(const shared_callbacks& callbacks, const telemetry::event_log& events) {
    return [callbacks, &events](const peer::v1::SyncRequest& request, peer::v1::SyncReply& reply) {
        const auto decoded = codec::read_sync_request(request);
        if (!decoded) {
            events.emit(
                telemetry::event_number::peer_message_invalid,
                {{"from", request.header().from_host()}, {"detail", codec::to_string(decoded.error())}});
            return false;
        }
        const auto result = callbacks->sync(*decoded);
        if (!result) {
            return false;
        }
        codec::write_sync_reply(*result, reply);
        return true;
    };
}

std::function<bool(const peer::v1::ProgressQuery&, peer::v1::ProgressReply&)>
progress_handler(const shared_callbacks& callbacks) {
    return [callbacks](const peer::v1::ProgressQuery& request, peer::v1::ProgressReply& reply) {
        const auto counts = callbacks->progress({request.version()});
        if (!counts) {
            return false;
        }
        reply.set_failure_domain(callbacks->failure_domain);
        reply.set_members(static_cast<std::uint32_t>(counts->members));
        reply.set_at_or_past(static_cast<std::uint32_t>(counts->at_or_past));
        reply.set_oldest_version(counts->oldest.value);
        return true;
    };
}

std::function<bool(const peer::v1::TimelineQuery&, peer::v1::TimelineReply&)>
timeline_handler(const shared_callbacks& callbacks) {
    return [callbacks](const peer::v1::TimelineQuery& request, peer::v1::TimelineReply& reply) {
        std::optional<common::hybrid_time> since;
        if (request.since_wall_us() > 0) {
            since =
                common::hybrid_time{common::wall_time(std::chrono::microseconds(request.since_wall_us())), 0};
        }
        const auto page = callbacks->timeline(since, request.limit());
        if (!page) {
            return false;
        }
        write_timeline(*page, reply);
        return true;
    };
}

} // namespace

peer::peer_handlers make_peer_handlers(peer_frontend_callbacks callbacks, target_runner& runner,
                                       const telemetry::event_log& events) {
    const auto shared = std::make_shared<const peer_frontend_callbacks>(std::move(callbacks));
    peer::peer_handlers handlers;
    handlers.push = push_handler(shared, events);
    handlers.pull = pull_handler(shared);
    handlers.sync = sync_handler(shared, events);
    handlers.progress = progress_handler(shared);
    handlers.timeline = timeline_handler(shared);
    handlers.refused = [&events](const std::string& from, const std::string& reason) {
        const bool mesh = reason == "another mesh";
        events.emit(mesh ? telemetry::event_number::peer_wrong_mesh
                         : telemetry::event_number::peer_wrong_protocol,
                    {{"from", from}, {"reason", reason}});
    };
    handlers.call = [&runner](const peer::call_head& head, peer::call_request_part first,
                              peer::call_stream& stream) {
        runner.run(
            head, std::move(first), [&] { return stream.read(); },
            [&](const peer::call_reply_part& part) { return stream.write(part); });
    };
    return handlers;
}

} // namespace boragehollow::daemon
