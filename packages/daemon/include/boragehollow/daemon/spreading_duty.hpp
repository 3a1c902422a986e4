#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/daemon/spreading_messages.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace boragehollow::daemon {

/// Receivers of the spreading duty's decisions. They must not block for long, except `apply`, which waits for
/// room and returns false when there is none.
struct spreading_sinks {
    std::function<void(spreading::push)> push;
    std::function<void(spreading::pull)> pull;
    std::function<bool(apply_message)> apply;
    std::function<void(log_reader_message)> log_reader;
    std::function<void(bool ready)> readiness;
};

/// Thread that owns the records retained for peers, the version floors and the readiness of this daemon.
class spreading_duty {
public:
    spreading_duty(spreading::spreading_settings settings, common::random_source random,
                   std::size_t ring_size, spreading_sinks sinks, const telemetry::event_log& events);
    ~spreading_duty();

    /// Joins the thread. All duties that send to each other must be stopped before any of them is destroyed.
    void stop();

    /// Messages are refused when the ring is full; a later pull fetches what they contained.
    common::bounded_ring<spreading_message>& ring() { return m_ring; }

    /// Requests the reply to a peer's pull. Empty when the ring is full or the deadline passed.
    std::optional<spreading::pull_reply> handle_pull_request(spreading::pull_request request,
                                                             common::steady_time deadline);

private:
    void run();
    spreading::effects handle(spreading_message& message, common::steady_time now);
    spreading::effects handle_pull(pull_from_peer& message, common::steady_time now);
    void perform(spreading::effects effects, common::steady_time now);
    bool perform_effect(spreading::effect& effect);
    void send_reply(spreading::send_pull_reply& effect);
    spreading::encoded_bytes encoded_state();

    spreading::spreading_engine m_engine;
    spreading_sinks m_sinks;
    const telemetry::event_log& m_events;
    codec::snapshot_pointer m_state;
    spreading::encoded_bytes m_encoded; ///< Encoded `m_state`; created when a peer first needs it.
    std::map<std::uint64_t, common::reply_slot<spreading::pull_reply>> m_pending_replies;
    std::uint64_t m_last_ticket = 0;
    common::bounded_ring<spreading_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
