#include "boragehollow/peer/call_exchange.hpp"

#include "call_codec.hpp"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <array>

namespace boragehollow::peer {

namespace {

enum class operation : std::uintptr_t { write, read, finish };

/// A tag encodes the attempt and the operation, so that no tag object has to live until its operation
/// completes.
void* make_tag(attempt_index attempt, operation kind) {
    return reinterpret_cast<void*>((attempt << 2U) | static_cast<std::uintptr_t>(kind));
}

attempt_index attempt_of(void* tag) {
    return reinterpret_cast<std::uintptr_t>(tag) >> 2U;
}
operation operation_of(void* tag) {
    return static_cast<operation>(reinterpret_cast<std::uintptr_t>(tag) & 3U);
}

/// The server refuses a stream with RESOURCE_EXHAUSTED when all its threads are busy, and with
/// FAILED_PRECONDITION when the header is rejected; in both cases the call has not run.
bool refused_before_handler(const grpc::Status& status) {
    return status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED ||
           status.error_code() == grpc::StatusCode::FAILED_PRECONDITION;
}

/// Completion queue of one worker thread. A queue for each call would cost a system call for each connection
/// that the call uses.
class worker_queue {
public:
    worker_queue() = default;
    worker_queue(const worker_queue&) = delete;
    worker_queue& operator=(const worker_queue&) = delete;

    ~worker_queue() {
        m_queue.Shutdown();
        void* tag = nullptr;
        bool ok = false;
        while (m_queue.Next(&tag, &ok)) {
        }
    }

    grpc::CompletionQueue& get() { return m_queue; }

private:
    grpc::CompletionQueue m_queue;
};

grpc::CompletionQueue& thread_completion_queue() {
    thread_local worker_queue queue;
    return queue.get();
}

} // namespace

struct call_exchange::attempt_stream {
    grpc::ClientContext context;
    std::unique_ptr<v1::Peer::Stub> stub;
    std::unique_ptr<grpc::ClientAsyncReaderWriter<v1::CallRequest, v1::CallReply>> stream;
    v1::CallRequest request;
    v1::CallReply reply;
    grpc::Status status;
    bool read_pending = false;
    bool finishing = false;
    bool got_reply = false;
};

struct call_exchange::state {
    grpc::CompletionQueue& queue = thread_completion_queue();
    std::vector<std::unique_ptr<attempt_stream>> attempts;
    std::size_t operations_in_progress = 0;

    void finish(attempt_index index) {
        attempt_stream& attempt = *attempts[index];
        if (attempt.finishing) {
            return;
        }
        attempt.finishing = true;
        ++operations_in_progress;
        attempt.stream->Finish(&attempt.status, make_tag(index, operation::finish));
    }

    void send(attempt_index index) {
        attempt_stream& attempt = *attempts[index];
        ++operations_in_progress;
        grpc::WriteOptions options;
        if (attempt.request.end()) {
            options.set_last_message();
        }
        attempt.stream->Write(attempt.request, options, make_tag(index, operation::write));
    }

    void receive(attempt_index index) {
        attempt_stream& attempt = *attempts[index];
        if (attempt.read_pending || attempt.finishing) {
            return;
        }
        attempt.read_pending = true;
        ++operations_in_progress;
        attempt.stream->Read(&attempt.reply, make_tag(index, operation::read));
    }

    std::optional<exchange_event> completed(void* tag, bool ok) {
        --operations_in_progress;
        const attempt_index index = attempt_of(tag);
        attempt_stream& attempt = *attempts[index];
        switch (operation_of(tag)) {
        case operation::write:
            return exchange_event{index, write_completed{ok}};
        case operation::read:
            attempt.read_pending = false;
            if (!ok) {
                finish(index);
                return std::nullopt;
            }
            attempt.got_reply = true;
            return exchange_event{index, reply_received{decode(std::move(attempt.reply))}};
        case operation::finish:
            return exchange_event{index,
                                  stream_lost{!attempt.got_reply && refused_before_handler(attempt.status),
                                              attempt.status.error_message()}};
        }
        return std::nullopt;
    }
};

call_exchange::call_exchange() : m_state(std::make_unique<state>()) {}

call_exchange::~call_exchange() {
    for (const auto& attempt : m_state->attempts) {
        attempt->context.TryCancel();
    }
    // The queue is reused for the next call, so all operations of this call must be drained from it.
    while (m_state->operations_in_progress > 0) {
        void* tag = nullptr;
        bool ok = false;
        m_state->queue.Next(&tag, &ok);
        --m_state->operations_in_progress;
    }
}

attempt_index call_exchange::start(const std::shared_ptr<grpc::Channel>& channel,
                                   const peer_identity& identity, const call_request_part& first,
                                   common::wall_time deadline) {
    const attempt_index index = m_state->attempts.size();
    m_state->attempts.push_back(std::make_unique<attempt_stream>());
    attempt_stream& attempt = *m_state->attempts.back();
    attempt.context.set_deadline(std::chrono::system_clock::time_point(deadline));
    attempt.stub = v1::Peer::NewStub(channel);
    encode(first, attempt.request);
    identity.write(*attempt.request.mutable_head()->mutable_header());
    // Sends the initial metadata together with the first message, which saves a packet on every call.
    attempt.context.set_initial_metadata_corked(true);
    attempt.stream = attempt.stub->PrepareAsyncCall(&attempt.context, &m_state->queue);
    attempt.stream->StartCall(nullptr);
    m_state->send(index);
    m_state->receive(index);
    return index;
}

void call_exchange::write(attempt_index index, const call_request_part& part) {
    attempt_stream& attempt = *m_state->attempts[index];
    attempt.request.Clear();
    encode(part, attempt.request);
    m_state->send(index);
}

void call_exchange::read_next(attempt_index index) {
    m_state->receive(index);
}

void call_exchange::cancel(attempt_index index) {
    m_state->attempts[index]->context.TryCancel();
}

std::optional<exchange_event> call_exchange::next_event(common::steady_time deadline) {
    while (m_state->operations_in_progress > 0) {
        void* tag = nullptr;
        bool ok = false;
        const auto wall_deadline = std::chrono::system_clock::now() +
                                   std::chrono::duration_cast<std::chrono::system_clock::duration>(
                                       deadline - common::steady_clock::now());
        const auto status = m_state->queue.AsyncNext(&tag, &ok, wall_deadline);
        if (status != grpc::CompletionQueue::GOT_EVENT) {
            return std::nullopt;
        }
        auto event = m_state->completed(tag, ok);
        if (event) {
            return event;
        }
    }
    return std::nullopt;
}

} // namespace boragehollow::peer
