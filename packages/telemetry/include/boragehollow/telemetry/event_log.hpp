#pragma once

#include "boragehollow/common/hybrid_clock.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/telemetry/event_catalogue.hpp"
#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <chrono>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragehollow::telemetry {

/// One field of an event; numbers and durations are written out, durations in microseconds with their unit.
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

/// Receives each event for the timeline; usually pushes into the ring of the timeline duty and must not wait.
using event_sink = std::function<void(timeline_event)>;

/// Writes events to the log and hands them to the timeline. Safe to use from every thread.
class event_log {
public:
    event_log(std::string host, std::shared_ptr<common::hybrid_clock> clock, event_sink sink);

    /// Events below the level of the log still reach the timeline, except those of level debug.
    void emit(event_number number, std::vector<event_field> fields = {}) const;

    const std::string& host() const { return m_host; }

private:
    std::string m_host;
    std::shared_ptr<common::hybrid_clock> m_clock;
    event_sink m_sink;
};

/// Sets up log4cplus with one appender to standard output, and closes it at the end of its life. One for each
/// process. A thread of its own writes the lines, so that an event never waits for whoever reads them; lines
/// beyond the bound of its ring are dropped, counted, and the count is written.
class log_session {
public:
    explicit log_session(event_level level);

    log_session(const log_session&) = delete;
    log_session& operator=(const log_session&) = delete;
    ~log_session();

    static void set_level(event_level level);

    /// Waits until the lines of earlier events are written, at most until `deadline`. False when time ran
    /// out.
    static bool flush(common::steady_time deadline);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

/// The text of a log line after its time stamp: `BH1203 log_unreachable key=value key="two words"`.
std::string format_event(const event_description& description, const std::vector<event_field>& fields);

} // namespace boragehollow::telemetry
