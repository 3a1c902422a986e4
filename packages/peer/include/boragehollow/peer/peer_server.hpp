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

/// Stream of one call on the target's daemon. Used by the gRPC thread that serves it.
class call_stream {
public:
    struct stream_access;

    explicit call_stream(stream_access& access) : m_access(&access) {}

    /// Next part of the request; empty when the caller's daemon gave up or is gone.
    std::optional<call_request_part> read();
    bool write(const call_reply_part& part);
    bool cancelled() const;

private:
    stream_access* m_access;
};

/// What the server does with each request. Control handlers return false when they are too busy to answer.
struct peer_handlers {
    std::function<void(call_head head, call_request_part first, call_stream& stream)> call;
    std::function<bool(const v1::PushRequest&)> push;
    std::function<bool(const v1::PullRequest&, v1::PullReply&)> pull;
    std::function<bool(const v1::SyncRequest&, v1::SyncReply&)> sync;
    std::function<bool(const v1::ProgressQuery&, v1::ProgressReply&)> progress;
    std::function<bool(const v1::TimelineQuery&, v1::TimelineReply&)> timeline;
    /// A message of another mesh, of an unknown protocol, or malformed.
    std::function<void(const std::string& from, const std::string& reason)> refused;
};

struct peer_server_options {
    common::endpoint listen;
    /// Each call under way holds a thread; past this bound the caller's daemon is told "not run".
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

    /// Encoded control requests received and answers sent, without the framing of gRPC. Calls are not
    /// counted.
    const common::traffic_counter& control_traffic() const;

    /// Refuses new streams, waits for those under way until `grace` is over, then cuts them.
    void stop(std::chrono::milliseconds grace);

private:
    struct state;

    explicit peer_server(std::unique_ptr<state> initial);

    std::unique_ptr<state> m_state;
};

} // namespace boragehollow::peer
