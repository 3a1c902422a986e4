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

/// A message of the target's daemon arrived.
struct reply_received {
    call_reply_part part;
};

/// The previous part was taken; the next one may be written.
struct write_completed {
    bool sent = false;
};

/// The stream ended without a final message: the connection broke, or the peer refused the stream. Whether
/// the call was run is unknown, unless `not_run`.
struct stream_lost {
    bool not_run = false;
    std::string detail;
};

struct exchange_event {
    attempt_index attempt = 0;
    std::variant<reply_received, write_completed, stream_lost> payload;
};

/// The attempts of one call as seen by the worker thread that serves its caller: one at first, a second one
/// when the call is hedged. All events arrive through the queue of the thread that made the exchange, so that
/// the worker waits in one place; a thread has one exchange at a time.
class call_exchange {
public:
    call_exchange();
    ~call_exchange();

    call_exchange(const call_exchange&) = delete;
    call_exchange& operator=(const call_exchange&) = delete;

    /// Starts an attempt with its head and the first bytes of its body. `channel` must be connected.
    attempt_index start(const std::shared_ptr<grpc::Channel>& channel, const peer_identity& identity,
                        const call_request_part& first, common::wall_time deadline);

    /// Writes the next part; at most one write may be under way for each attempt.
    void write(attempt_index attempt, const call_request_part& part);

    /// Asks for the next message of the attempt; at most one read may be under way.
    void read_next(attempt_index attempt);

    void cancel(attempt_index attempt);

    /// Waits for the next event; empty on time-out.
    std::optional<exchange_event> next_event(common::steady_time deadline);

private:
    struct attempt_stream;
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace boragehollow::peer
