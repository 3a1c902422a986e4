#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/traffic_counter.hpp"
#include "boragehollow/peer/channel_pool.hpp"
#include "boragehollow/peer/peer_identity.hpp"

#include <tl/expected.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
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

struct control_error {
    std::string detail;
};

template <class Reply>
using control_callback = std::function<void(tl::expected<Reply, control_error>)>;

/// Sends control requests to other daemons. Callbacks run on gRPC threads and must not block: they only push
/// the reply onto a ring.
class control_client {
public:
    control_client(peer_identity identity, std::shared_ptr<channel_pool> channels);
    /// Waits until all requests in progress have completed.
    ~control_client();

    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    void push(const common::endpoint& remote, v1::PushRequest request, std::chrono::milliseconds timeout,
              std::function<void(tl::expected<void, control_error>)> on_reply);
    void pull(const common::endpoint& remote, v1::PullRequest request, std::chrono::milliseconds timeout,
              control_callback<v1::PullReply> on_reply);
    void sync(const common::endpoint& remote, v1::SyncRequest request, std::chrono::milliseconds timeout,
              control_callback<v1::SyncReply> on_reply);
    void progress(const common::endpoint& remote, v1::ProgressQuery request,
                  std::chrono::milliseconds timeout, control_callback<v1::ProgressReply> on_reply);
    void timeline(const common::endpoint& remote, v1::TimelineQuery request,
                  std::chrono::milliseconds timeout, control_callback<v1::TimelineReply> on_reply);

    /// Bytes of encoded requests sent and replies received, without gRPC framing.
    const common::traffic_counter& traffic() const { return m_traffic; }

private:
    template <class Request, class Reply, class Start>
    void send(const common::endpoint& remote, Request request, std::chrono::milliseconds timeout,
              control_callback<Reply> on_reply, Start start);

    peer_identity m_identity;
    std::shared_ptr<channel_pool> m_channels;
    common::traffic_counter m_traffic;
    std::mutex m_mutex;
    std::condition_variable m_none_pending;
    std::size_t m_pending = 0;
};

} // namespace boragehollow::peer
