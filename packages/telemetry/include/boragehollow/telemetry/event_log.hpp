#pragma once

#include "boragehollow/common/hybrid_clock.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/telemetry/event_catalogue.hpp"
#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <chrono>
#include <concepts>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragehollow::telemetry {

/// A longer value of a field is truncated and ends with dots.
inline constexpr std::size_t max_event_field_bytes = 512;

/// Name and value of one event field. Values are stored as text; durations are converted to microseconds with
/// the unit `us`.
struct event_field {
    std::string name;
    std::string value;

    event_field(std::string field_name, std::string field_value)
        : name(std::move(field_name)), value(std::move(field_value)) {}
    event_field(std::string field_name, std::string_view field_value)
        : name(std::move(field_name)), value(field_value) {}
    event_field(std::string field_name, const char* field_value)
        : name(std::move(field_name)), value(field_value) {}
    event_field(std::string field_name, bool field_value)
        : name(std::move(field_name)), value(field_value ? "true" : "false") {}
    template <std::integral Number>
    event_field(std::string field_name, Number field_value)
        : name(std::move(field_name)), value(std::to_string(field_value)) {}
    template <class Rep, class Period>
    event_field(std::string field_name, std::chrono::duration<Rep, Period> field_value)
        : name(std::move(field_name)),
          value(std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(field_value).count()) +
                "us") {}
};

/// Receives each event for the timeline. Called on the emitting thread, so it must not block; usually it
/// pushes into the ring of the timeline duty.
using event_sink = std::function<void(timeline_event)>;

/// Writes events to the log and forwards them to the timeline. Thread-safe.
class event_log {
public:
    event_log(std::string host, std::shared_ptr<common::hybrid_clock> clock, event_sink sink);

    /// Events below the log level are not written to the log but still reach the timeline, except those of
    /// level debug.
    void emit(event_number number, std::vector<event_field> fields = {}) const;

    const std::string& host() const { return m_host; }

private:
    std::string m_host;
    std::shared_ptr<common::hybrid_clock> m_clock;
    event_sink m_sink;
};

/// Configures log4cplus with one appender to standard output and shuts it down on destruction. One instance
/// per process. A dedicated thread writes the lines, so that `emit` never blocks on a slow reader of standard
/// output; when its ring is full, lines are dropped and counted, and the count is logged.
class log_session {
public:
    explicit log_session(event_level level);

    log_session(const log_session&) = delete;
    log_session& operator=(const log_session&) = delete;
    ~log_session();

    static void set_level(event_level level);

    /// Waits until the lines submitted before this call are written. Returns false if `deadline` passes
    /// first.
    static bool flush(common::steady_time deadline);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

/// Text of a log line after its timestamp: `BH1203 log_unreachable key=value key="two words"`.
std::string format_event(const event_description& description, const std::vector<event_field>& fields);

} // namespace boragehollow::telemetry
