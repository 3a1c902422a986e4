#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/daemon/spreading_messages.hpp"
#include "boragehollow/settings/daemon_settings.hpp"
#include "boragehollow/streams/log_client.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace boragehollow::daemon {

inline const std::string config_stream = "config";
inline const std::string snapshot_stream = "snapshots";

/// Receives the records that were read. May block until its receiver has room.
using log_reader_sink = std::function<void(spreading_message)>;

/// Thread that reads the platform's streams while this daemon is a log reader, and appends snapshots. A long
/// poll blocks the thread, so its messages wait until the poll returns.
class log_reader_duty {
public:
    log_reader_duty(streams::log_client client, settings::platform_settings settings,
                    common::random_source random, std::size_t ring_size, log_reader_sink sink,
                    const telemetry::event_log& events);
    ~log_reader_duty();

    /// Joins the thread. All duties that send to each other must be stopped before any of them is destroyed.
    void stop();

    common::bounded_ring<log_reader_message>& ring() { return m_ring; }

private:
    void run();
    void handle(const spreading::log_reading_changed& message);
    void handle(const read_snapshot& message);
    void handle(const store_snapshot& message);
    void read_once();
    void handle_page(streams::log_page page);
    void handle_read_error(const streams::log_error& error);

    streams::log_client m_client;
    settings::platform_settings m_settings;
    common::random_source m_random;
    log_reader_sink m_sink;
    const telemetry::event_log& m_events;
    bool m_active = false;
    bool m_at_end = false; ///< The end of the stream was reached, so the next read is a long poll.
    bool m_reachable = true;
    common::revision m_position;
    std::chrono::milliseconds m_backoff;
    common::steady_time m_next_read;
    common::bounded_ring<log_reader_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
