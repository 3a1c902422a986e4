#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/traffic_counter.hpp"
#include "boragehollow/peer/call_messages.hpp"
#include "boragehollow/peer/peer_identity.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boragehollow::peer::v1 {
class PushRequest;
class PullRequest;
class PullReply;
class SyncRequest;
class SyncReply;
class ProgressQuery;
class ProgressReply;
class TimelineQuery;
class TimelineReply;
} // namespace boragehollow::peer::v1

namespace boragehollow::peer {

/// Server side of a call's stream, on the target's daemon. Used by the gRPC thread that runs the call.
class call_stream {
public:
    struct grpc_stream;

    explicit call_stream(grpc_stream& stream) : m_stream(&stream) {}

    /// Next part of the request; empty when the caller's daemon cancelled the stream or disconnected.
    std::optional<call_request_part> read();
    bool write(const call_reply_part& part);
    bool cancelled() const;

private:
    grpc_stream* m_stream;
};

/// What the server does with each request. Control handlers return false when they are too busy to
/// reply.
struct peer_handlers {
    std::function<void(call_head head, call_request_part first, call_stream& stream)> call;
    std::function<bool(const v1::PushRequest&)> push;
    std::function<bool(const v1::PullRequest&, v1::PullReply&)> pull;
    std::function<bool(const v1::SyncRequest&, v1::SyncReply&)> sync;
    std::function<bool(const v1::ProgressQuery&, v1::ProgressReply&)> progress;
    std::function<bool(const v1::TimelineQuery&, v1::TimelineReply&)> timeline;
    /// Called for a message that belongs to another mesh, has an unknown protocol version, or is malformed.
    std::function<void(const std::string& from, const std::string& reason)> refused;
};

struct peer_server_options {
    common::endpoint listen;
    /// Each call in progress occupies a thread. Above this limit the stream is refused, and the caller's
    /// daemon treats the call as not run.
    int max_threads = 512;
};

class peer_server {
public:
    static tl::expected<std::unique_ptr<peer_server>, std::string>
    start(const peer_server_options& options, peer_identity identity, peer_handlers handlers);
    ~peer_server();

    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    const common::endpoint& local_endpoint() const;

    /// Bytes of encoded control requests received and replies sent, without gRPC framing. Calls are not
    /// counted.
    const common::traffic_counter& control_traffic() const;

    /// Refuses new streams, waits up to `grace` for those in progress, then cancels the rest.
    void stop(std::chrono::milliseconds grace);

private:
    struct state;

    explicit peer_server(std::unique_ptr<state> initial);

    std::unique_ptr<state> m_state;
};

} // namespace boragehollow::peer
