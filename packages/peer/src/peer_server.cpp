#include "boragehollow/peer/peer_server.hpp"

#include "call_codec.hpp"

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <peer.grpc.pb.h>

namespace boragehollow::peer {

struct call_stream::grpc_stream {
    grpc::ServerContext& context;
    grpc::ServerReaderWriter<v1::CallReply, v1::CallRequest>& messages;
};

std::optional<call_request_part> call_stream::read() {
    v1::CallRequest message;
    if (!m_stream->messages.Read(&message)) {
        return std::nullopt;
    }
    return decode(std::move(message));
}

bool call_stream::write(const call_reply_part& part) {
    v1::CallReply message;
    encode(part, message);
    grpc::WriteOptions options;
    if (part.end || part.failure) {
        options.set_last_message();
    }
    return m_stream->messages.Write(message, options);
}

bool call_stream::cancelled() const {
    return m_stream->context.IsCancelled();
}

namespace {

constexpr int max_message_bytes = 16 * 1024 * 1024;

class peer_service final : public v1::Peer::Service {
public:
    peer_service(peer_identity identity, peer_handlers handlers)
        : m_identity(std::move(identity)), m_handlers(std::move(handlers)) {}

    grpc::Status Call(grpc::ServerContext* context,
                      grpc::ServerReaderWriter<v1::CallReply, v1::CallRequest>* stream) override {
        v1::CallRequest first;
        if (!stream->Read(&first) || !first.has_head()) {
            m_handlers.refused(context->peer(), "the first message of the call has no head");
            return {grpc::StatusCode::FAILED_PRECONDITION, "the first message has no head"};
        }
        const grpc::Status checked = check(*context, first.head().header());
        if (!checked.ok()) {
            return checked;
        }
        call_stream::grpc_stream grpc_side{*context, *stream};
        call_stream call(grpc_side);
        call_request_part part = decode(std::move(first));
        call_head head = std::move(*part.head);
        part.head.reset();
        m_handlers.call(std::move(head), std::move(part), call);
        return grpc::Status::OK;
    }

    grpc::Status Push(grpc::ServerContext* context, const v1::PushRequest* request,
                      v1::PushReply* reply) override {
        const grpc::Status checked = check(*context, request->header());
        return checked.ok() ? finish_reply(m_handlers.push(*request), *request, *reply) : checked;
    }

    grpc::Status Pull(grpc::ServerContext* context, const v1::PullRequest* request,
                      v1::PullReply* reply) override {
        const grpc::Status checked = check(*context, request->header());
        return checked.ok() ? finish_reply(m_handlers.pull(*request, *reply), *request, *reply) : checked;
    }

    grpc::Status Sync(grpc::ServerContext* context, const v1::SyncRequest* request,
                      v1::SyncReply* reply) override {
        const grpc::Status checked = check(*context, request->header());
        return checked.ok() ? finish_reply(m_handlers.sync(*request, *reply), *request, *reply) : checked;
    }

    grpc::Status Progress(grpc::ServerContext* context, const v1::ProgressQuery* request,
                          v1::ProgressReply* reply) override {
        const grpc::Status checked = check(*context, request->header());
        return checked.ok() ? finish_reply(m_handlers.progress(*request, *reply), *request, *reply) : checked;
    }

    grpc::Status Timeline(grpc::ServerContext* context, const v1::TimelineQuery* request,
                          v1::TimelineReply* reply) override {
        const grpc::Status checked = check(*context, request->header());
        return checked.ok() ? finish_reply(m_handlers.timeline(*request, *reply), *request, *reply) : checked;
    }

    const common::traffic_counter& traffic() const { return m_traffic; }

private:
    grpc::Status check(const grpc::ServerContext& context, const v1::Header& header) const {
        const auto refusal = m_identity.check(header);
        if (!refusal) {
            return grpc::Status::OK;
        }
        const char* reason =
            *refusal == peer_identity::refusal::other_mesh ? "another mesh" : "unknown protocol number";
        m_handlers.refused(context.peer(), reason);
        return {grpc::StatusCode::FAILED_PRECONDITION, reason};
    }

    template <class Request, class Reply>
    grpc::Status finish_reply(bool handled, const Request& request, const Reply& reply) {
        m_traffic.received(request.ByteSizeLong());
        if (handled) {
            m_traffic.sent(reply.ByteSizeLong());
            return grpc::Status::OK;
        }
        return {grpc::StatusCode::UNAVAILABLE, "the daemon is overloaded"};
    }

    peer_identity m_identity;
    peer_handlers m_handlers;
    common::traffic_counter m_traffic;
};

} // namespace

struct peer_server::state {
    state(peer_identity identity, peer_handlers handlers)
        : service(std::move(identity), std::move(handlers)) {}

    peer_service service;
    std::unique_ptr<grpc::Server> server;
    common::endpoint local;
};

peer_server::peer_server(std::unique_ptr<state> initial) : m_state(std::move(initial)) {}

peer_server::~peer_server() {
    stop(std::chrono::milliseconds(0));
}

const common::endpoint& peer_server::local_endpoint() const {
    return m_state->local;
}

const common::traffic_counter& peer_server::control_traffic() const {
    return m_state->service.traffic();
}

void peer_server::stop(std::chrono::milliseconds grace) {
    if (!m_state->server) {
        return;
    }
    m_state->server->Shutdown(std::chrono::system_clock::now() + grace);
    m_state->server->Wait();
    m_state->server.reset();
}

tl::expected<std::unique_ptr<peer_server>, std::string>
peer_server::start(const peer_server_options& options, peer_identity identity, peer_handlers handlers) {
    auto initial = std::make_unique<state>(std::move(identity), std::move(handlers));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(common::to_string(options.listen), grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, 4);
    grpc::ResourceQuota quota("peer");
    quota.SetMaxThreads(options.max_threads);
    builder.SetResourceQuota(quota);
    builder.RegisterService(&initial->service);
    initial->server = builder.BuildAndStart();
    if (!initial->server || port == 0) {
        return tl::unexpected("cannot listen on " + common::to_string(options.listen));
    }
    initial->local = {options.listen.address, static_cast<std::uint16_t>(port)};
    return std::unique_ptr<peer_server>(new peer_server(std::move(initial)));
}

} // namespace boragehollow::peer
