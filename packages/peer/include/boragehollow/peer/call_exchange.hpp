#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/peer/call_messages.hpp"
#include "boragehollow/peer/peer_identity.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace grpc {
class Channel;
}

namespace boragehollow::peer {

/// Index of an attempt within its exchange.
using attempt_index = std::size_t;

/// A message of the target's daemon was received.
struct reply_received {
    call_reply_part part;
};

/// The previous write completed; the next part may be written.
struct write_completed {
    bool sent = false;
};

/// The stream ended without a final message: the connection failed, or the peer refused the stream. Unless
/// `not_run` is set, the call may have run.
struct stream_lost {
    bool not_run = false;
    std::string detail;
};

struct exchange_event {
    attempt_index attempt = 0;
    std::variant<reply_received, write_completed, stream_lost> payload;
};

/// Client side of the attempts of one call: one attempt, or two when the call is hedged. All events are
/// delivered through one completion queue of the thread that created the exchange, so that this worker thread
/// waits for all attempts at once. A thread has at most one exchange at a time.
class call_exchange {
public:
    call_exchange();
    ~call_exchange();

    call_exchange(const call_exchange&) = delete;
    call_exchange& operator=(const call_exchange&) = delete;

    /// Starts an attempt by sending its head and the first part of its body. `channel` must be connected.
    attempt_index start(const std::shared_ptr<grpc::Channel>& channel, const peer_identity& identity,
                        const call_request_part& first, common::wall_time deadline);

    /// Writes the next part. Each attempt may have at most one write in progress.
    void write(attempt_index attempt, const call_request_part& part);

    /// Starts reading the next message of the attempt. Each attempt has at most one read in progress.
    void read_next(attempt_index attempt);

    void cancel(attempt_index attempt);

    /// Waits for the next event; empty when the deadline passes first.
    std::optional<exchange_event> next_event(common::steady_time deadline);

private:
    struct attempt_stream;
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace boragehollow::peer
