#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/membership/member.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/web/http_server.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace boragehollow::daemon {

/// Announcement that the target on this host sends periodically.
struct announcement {
    membership::target_announcement target;
    common::endpoint address; ///< Address at which the target listens.
};

struct announcement_received {
    announcement content;
    /// Set to true while the daemon accepts new work for the target.
    common::reply_slot<bool> reply;
};

/// The daemon is shutting down: the target is announced as draining from now on.
struct start_target_drain {};

struct query_target {
    common::reply_slot<std::optional<announcement>> reply;
};

using target_frontend_message = std::variant<announcement_received, start_target_drain, query_target>;

/// Called on the duty's thread when the announced target changed; empty when there is none any more.
using target_sink = std::function<void(const std::optional<announcement>&)>;

struct target_frontend_settings {
    std::chrono::milliseconds heartbeat{500};
    unsigned missed_heartbeats = 3;
    std::size_t ring_size = 256;
};

/// Thread that owns the announcement of the local target and detects missing heartbeats.
class target_frontend_duty {
public:
    target_frontend_duty(target_frontend_settings settings, target_sink on_changed,
                         const telemetry::event_log& events);
    ~target_frontend_duty();

    /// Processes the queued messages and joins the thread. No sink is called afterwards.
    void stop();

    common::bounded_ring<target_frontend_message>& ring() { return m_ring; }

private:
    void run();
    void handle(const announcement_received& message, common::steady_time now);
    void handle(const start_target_drain& message, common::steady_time now);
    void handle(const query_target& message, common::steady_time now);
    void check_silence(common::steady_time now);
    void set_current(std::optional<announcement> next);

    target_frontend_settings m_settings;
    target_sink m_on_changed;
    const telemetry::event_log& m_events;
    std::optional<announcement> m_current;
    common::steady_time m_last_heartbeat{};
    bool m_draining = false;
    common::bounded_ring<target_frontend_message> m_ring;
    common::duty m_thread;
};

/// HTTP source of target announcements.
class target_frontend {
public:
    explicit target_frontend(target_frontend_duty& duty) : m_duty(duty) {}

    void serve(web::server_exchange& exchange);

private:
    target_frontend_duty& m_duty;
};

} // namespace boragehollow::daemon
