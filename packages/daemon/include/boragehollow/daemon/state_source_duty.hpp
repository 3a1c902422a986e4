#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/daemon/poll_schedule.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::daemon {

/// Reads configuration documents, the newest last. Returns none when there is none, and the cause when the
/// platform did not respond.
using document_read =
    std::function<tl::expected<std::vector<std::string>, std::string>(const std::stop_token&)>;

/// Reads the next configuration documents and waits up to `wait` if there are none yet. A read that gets no
/// response fails some time after `wait`.
using document_poll = std::function<tl::expected<std::vector<std::string>, std::string>(
    std::chrono::milliseconds wait, const std::stop_token&)>;

struct document_access {
    document_read newest; ///< Returns at once.
    document_poll next;   ///< For documents after the last one that was read.
};

/// This daemon reads the platform's configuration continuously; only a few daemons of a failure domain do.
struct continuous_reading {
    reader_position position;

    bool operator==(const continuous_reading&) const = default;
};

/// This daemon reads continuously because the daemons that should do so have not confirmed the configuration
/// for too long.
struct substitute_reading {
    bool operator==(const substitute_reading&) const = default;
};

/// Other daemons read the configuration and distribute it; this one reads only on request.
struct reading_on_demand {
    bool operator==(const reading_on_demand&) const = default;
};

using reading_mode = std::variant<continuous_reading, substitute_reading, reading_on_demand>;

/// Requests a read, since the other daemons have not delivered a version that they reported.
struct read_now {};

/// This daemon has a configuration, from whichever source.
struct configuration_present {};

using state_source_message = std::variant<reading_mode, read_now, configuration_present>;

struct state_source_sinks {
    std::function<void(std::vector<std::string>)> documents; ///< The newest last.
    std::function<void(bool)> reachable; ///< Called when the platform stops or starts responding.
    /// The platform had no document at `read_at` beyond those already passed to `documents`. Optional.
    std::function<void(common::steady_time read_at)> confirmed{};
};

struct state_source_settings {
    /// Time for other daemons to tell this one its reading mode. A daemon that hears of no other one by then
    /// reads continuously.
    std::chrono::milliseconds max_wait_for_mode{2'000};
    /// Interval of the reads on demand while this daemon has no configuration: the daemons that read
    /// continuously may not reach the platform.
    std::chrono::milliseconds first_document_interval{2'500};
    /// Delay after a document, so that a burst of versions costs one read instead of one for each version.
    std::chrono::milliseconds pause_after_document{350};
    poll_schedule_settings polls;
    std::chrono::milliseconds min_backoff{150};
    std::chrono::milliseconds max_backoff{1'200};
};

/// Thread that reads configuration documents from the platform at a bounded rate.
class state_source_duty {
public:
    state_source_duty(state_source_settings settings, document_access access, state_source_sinks sinks,
                      common::random_source random, const telemetry::event_log& events);
    ~state_source_duty();

    void stop();

    common::bounded_ring<state_source_message>& ring() { return m_ring; }

private:
    void run(const std::stop_token& stop);
    bool follows() const;
    /// Waits for a message, or until this daemon has to read without a request.
    void await_message();
    void read(const std::stop_token& stop);
    void apply(const state_source_message& message);
    std::chrono::milliseconds next_poll_wait();
    void confirm(common::steady_time read_at);
    /// Estimates when the platform sent the response to a poll that has just ended.
    common::steady_time response_sent_at(common::steady_time started, std::chrono::milliseconds poll_wait,
                                         bool has_documents);
    /// Returns the remaining pause before the next read.
    std::chrono::milliseconds handle_read_error(const std::string& detail, common::steady_time started);
    void wait(std::chrono::milliseconds pause);

    state_source_settings m_settings;
    document_access m_access;
    state_source_sinks m_sinks;
    common::random_source m_random;
    const telemetry::event_log& m_events;
    std::chrono::milliseconds m_backoff;
    bool m_reachable = true;
    /// Time by which the last poll without a document exceeded its wait.
    std::chrono::milliseconds m_response_time{50};
    poll_schedule m_polls;
    std::optional<reading_mode> m_mode;
    common::steady_time m_mode_deadline;
    common::steady_time m_next_unrequested_read;
    bool m_has_configuration = false;
    bool m_read_requested = false;
    bool m_positioned = false; ///< `next` continues after the last document that was read.
    common::bounded_ring<state_source_message> m_ring{16};
    common::duty m_thread;
};

} // namespace boragehollow::daemon
