#include "boragehollow/peer/control_client.hpp"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

namespace boragehollow::peer {

namespace {

/// State of one request that gRPC refers to until the request completes.
template <class Request, class Reply>
struct pending_request {
    grpc::ClientContext context;
    std::unique_ptr<v1::Peer::Stub> stub;
    Request request;
    Reply reply;
};

} // namespace

control_client::control_client(peer_identity identity, std::shared_ptr<channel_pool> channels)
    : m_identity(std::move(identity)), m_channels(std::move(channels)) {}

control_client::~control_client() {
    std::unique_lock lock(m_mutex);
    m_none_pending.wait(lock, [&] { return m_pending == 0; });
}

template <class Request, class Reply, class Start>
void control_client::send(const common::endpoint& remote, Request request, std::chrono::milliseconds timeout,
                          control_callback<Reply> on_reply, Start start) {
    const auto channel = m_channels->channel(remote);
    if (!channel) {
        on_reply(tl::unexpected(control_error{"the link to " + common::to_string(remote) + " is blocked"}));
        return;
    }
    auto pending = std::make_shared<pending_request<Request, Reply>>();
    pending->stub = v1::Peer::NewStub(channel);
    pending->request = std::move(request);
    m_identity.write(*pending->request.mutable_header());
    m_traffic.sent(pending->request.ByteSizeLong());
    pending->context.set_deadline(std::chrono::system_clock::now() + timeout);
    {
        const std::lock_guard lock(m_mutex);
        ++m_pending;
    }
    auto done = [this, pending, on_reply = std::move(on_reply)](const grpc::Status& status) mutable {
        if (status.ok()) {
            m_traffic.received(pending->reply.ByteSizeLong());
            on_reply(std::move(pending->reply));
        } else {
            on_reply(tl::unexpected(control_error{status.error_message()}));
        }
        // The channel must be released before the destructor of this client returns.
        pending.reset();
        const std::lock_guard lock(m_mutex);
        --m_pending;
        m_none_pending.notify_all();
    };
    start(*pending, std::move(done));
}

void control_client::push(const common::endpoint& remote, v1::PushRequest request,
                          std::chrono::milliseconds timeout,
                          std::function<void(tl::expected<void, control_error>)> on_reply) {
    control_callback<v1::PushReply> ignore_reply = [on_reply = std::move(on_reply)](auto reply) {
        if (reply) {
            on_reply({});
        } else {
            on_reply(tl::unexpected(reply.error()));
        }
    };
    send<v1::PushRequest, v1::PushReply>(
        remote, std::move(request), timeout, std::move(ignore_reply), [](auto& call, auto done) {
            call.stub->async()->Push(&call.context, &call.request, &call.reply, std::move(done));
        });
}

void control_client::pull(const common::endpoint& remote, v1::PullRequest request,
                          std::chrono::milliseconds timeout, control_callback<v1::PullReply> on_reply) {
    send<v1::PullRequest, v1::PullReply>(
        remote, std::move(request), timeout, std::move(on_reply), [](auto& call, auto done) {
            call.stub->async()->Pull(&call.context, &call.request, &call.reply, std::move(done));
        });
}

void control_client::sync(const common::endpoint& remote, v1::SyncRequest request,
                          std::chrono::milliseconds timeout, control_callback<v1::SyncReply> on_reply) {
    send<v1::SyncRequest, v1::SyncReply>(
        remote, std::move(request), timeout, std::move(on_reply), [](auto& call, auto done) {
            call.stub->async()->Sync(&call.context, &call.request, &call.reply, std::move(done));
        });
}

void control_client::progress(const common::endpoint& remote, v1::ProgressQuery request,
                              std::chrono::milliseconds timeout,
                              control_callback<v1::ProgressReply> on_reply) {
    send<v1::ProgressQuery, v1::ProgressReply>(
        remote, std::move(request), timeout, std::move(on_reply), [](auto& call, auto done) {
            call.stub->async()->Progress(&call.context, &call.request, &call.reply, std::move(done));
        });
}

void control_client::timeline(const common::endpoint& remote, v1::TimelineQuery request,
                              std::chrono::milliseconds timeout,
                              control_callback<v1::TimelineReply> on_reply) {
    send<v1::TimelineQuery, v1::TimelineReply>(
        remote, std::move(request), timeout, std::move(on_reply), [](auto& call, auto done) {
            call.stub->async()->Timeline(&call.context, &call.request, &call.reply, std::move(done));
        });
}

} // namespace boragehollow::peer
