#pragma once

#include "boragehollow/admission/admission_controller.hpp"
#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/daemon/change_notifications.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>

namespace boragehollow::daemon {

/// A slot was granted; the thread that runs the call returns it with `call_finished`.
struct admission_grant {
    admission::admission_id id;
    admission::admission_status status;
};

struct admission_refusal {
    admission::refusal_reason reason = admission::refusal_reason::no_target;
    std::chrono::milliseconds retry_after{0};
    admission::admission_status status;
};

using admission_decision = std::variant<admission_grant, admission_refusal>;

/// Requests a slot. The duty assigns the admission id.
struct submit_call {
    admission::admission_request request;
    common::reply_slot<admission_decision> reply;
};

struct call_finished {
    admission::admission_id id;
    std::chrono::microseconds latency{0};
    admission::call_result result = admission::call_result::answered;
};

/// The local target changed; empty when no target is announced.
struct local_target_changed {
    std::optional<admission::local_target> target;
};

struct start_admission_drain {};

struct query_admission {
    common::reply_slot<admission::admission_status> reply;
};

using admission_message = std::variant<submit_call, call_finished, local_target_changed, config_changed,
                                       start_admission_drain, query_admission>;

/// Thread that owns the admission controller of the target on this host.
class admission_duty {
public:
    /// With `shared_fifo`, a baseline for measurements, all calls wait in a single FIFO queue regardless of
    /// work class and caller, without early refusal and with all slots in use.
    admission_duty(admission::admission_settings settings, std::size_t ring_size, bool shared_fifo = false);
    ~admission_duty();

    /// Processes the queued messages and joins the thread. No sink is called afterwards.
    void stop();

    common::bounded_ring<admission_message>& ring() { return m_ring; }

    /// Sends the request and waits for the reply. Empty when the ring is full or the deadline passed; nothing
    /// was run in either case.
    std::optional<admission_decision> submit(admission::admission_request request,
                                             common::steady_time deadline);

private:
    void run();
    void handle(submit_call& message, common::steady_time now);
    void handle(const call_finished& message, common::steady_time now);
    void handle(const local_target_changed& message, common::steady_time now);
    void handle(const config_changed& message, common::steady_time now);
    void handle(const start_admission_drain& message, common::steady_time now);
    void handle(const query_admission& message, common::steady_time now);
    void update_policy(common::steady_time now);
    void deliver(const admission::admission_controller::effects& effects, common::steady_time now);

    admission::admission_controller m_controller;
    bool m_shared_fifo;
    std::unordered_map<std::uint64_t, common::reply_slot<admission_decision>> m_pending_replies;
    std::uint64_t m_last_id = 0;
    std::string m_service;
    std::shared_ptr<const config::config_snapshot> m_snapshot;
    common::bounded_ring<admission_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
