#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/daemon/change_notifications.hpp"
#include "boragehollow/daemon/operator_callbacks.hpp"
#include "boragehollow/settings/daemon_settings.hpp"
#include "boragehollow/streams/log_client.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace boragehollow::daemon {

/// Appends a change to the log, unless its id is already known, and replies with the verdict.
struct publish_change {
    config::change change;
    common::steady_time deadline;
    common::reply_slot<publish_result> reply;
};

using publisher_message = std::variant<publish_change, config_changed>;

/// Thread that appends operators' changes to the platform log. When the response to an append is lost, the
/// duty searches the stream for the record before it appends again. A duplicate record is harmless, since the
/// configuration state recognises the change id.
class publisher_duty {
public:
    publisher_duty(streams::log_client client, settings::platform_settings settings,
                   common::random_source random, std::size_t ring_size, const telemetry::event_log& events);
    ~publisher_duty();

    /// Joins the thread. All duties that send to each other must be stopped before any of them is destroyed.
    void stop();

    /// Changes are refused when the ring is full; `config_changed` waits for room.
    common::bounded_ring<publisher_message>& ring() { return m_ring; }

    /// Sends the change to the duty and waits for its verdict.
    publish_result publish(config::change change, common::steady_time deadline);

private:
    /// The record has to be appended.
    struct appending {};
    /// An append may have succeeded: the stream is searched for the record, from this position on.
    struct searching {
        common::revision position;
    };
    /// The record is in the stream at this offset; its verdict is pending.
    struct awaiting_verdict {
        common::revision at;
    };
    using step = std::variant<appending, searching, awaiting_verdict>;

    struct pending_change {
        std::string change_id;
        std::string record;
        common::steady_time deadline;
        common::reply_slot<publish_result> reply;
        common::revision base; ///< Version before the first append; the record has a higher offset.
        step next = appending{};
        bool may_be_appended = false;
        common::steady_time due;
        std::chrono::milliseconds backoff;
    };

    void run();
    void handle(publish_change& message);
    void handle(const config_changed& message);
    void advance_due(common::steady_time now);
    std::optional<publish_result> advance(pending_change& pending, common::steady_time now);
    std::optional<publish_result> run_step(pending_change& pending, appending& state);
    std::optional<publish_result> run_step(pending_change& pending, searching& state);
    std::optional<publish_result> run_step(pending_change& pending, awaiting_verdict& state);
    std::optional<publish_result> known_verdict(const std::string& change_id) const;
    std::optional<common::revision> find_record(const streams::log_page& page,
                                                const std::string& change_id) const;
    void wait_before_retry(pending_change& pending);
    std::chrono::milliseconds remaining_request_timeout(const pending_change& pending) const;
    common::steady_time next_due() const;
    void finish(pending_change& pending, publish_result result) const;
    static publish_result give_up_result(const pending_change& pending, const std::string& detail);

    streams::log_client m_client;
    settings::platform_settings m_settings;
    common::random_source m_random;
    const telemetry::event_log& m_events;
    std::shared_ptr<const config::config_snapshot> m_snapshot = std::make_shared<config::config_snapshot>();
    std::list<pending_change> m_pending;
    common::bounded_ring<publisher_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
