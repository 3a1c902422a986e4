#include "boragehollow/telemetry/event_log.hpp"

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/truncate.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <optional>
#include <utility>
#include <variant>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>

namespace boragehollow::telemetry {

namespace {

log4cplus::LogLevel to_log4cplus_level(event_level level) {
    switch (level) {
    case event_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case event_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case event_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case event_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Logger of the channel. All loggers are looked up once, since log4cplus finds loggers by name under a lock.
const log4cplus::Logger& channel_logger(event_channel channel) {
    static const auto loggers = [] {
        std::array<log4cplus::Logger, static_cast<std::size_t>(event_channel::rollout) + 1> result;
        for (std::size_t index = 0; index < result.size(); ++index) {
            const auto name = to_string(static_cast<event_channel>(index));
            result.at(index) = log4cplus::Logger::getInstance(std::string(name));
        }
        return result;
    }();
    return loggers.at(static_cast<std::size_t>(channel));
}

constexpr std::string_view truncation_mark = "...";

/// Bounds the memory that the log lines and the timeline take. Values may hold texts of callers, such as
/// request targets.
void shorten(std::string& value) {
    if (value.size() > max_event_field_bytes) {
        value = common::truncate_utf8(value, max_event_field_bytes - truncation_mark.size()) +
                std::string(truncation_mark);
    }
}

/// About 5 s of log lines about calls at the highest rate that is logged.
constexpr std::size_t max_queued_lines = 2'048;

/// Pause of the writer between two batches, so that the lines of a batch share one wake-up and one flush.
constexpr std::chrono::milliseconds batch_interval{40};

struct queued_line {
    const log4cplus::Logger* logger = nullptr;
    log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL;
    std::string text;
    log4cplus::helpers::Time at;
};

void write_line(const queued_line& line) {
    const log4cplus::spi::InternalLoggingEvent event(line.logger->getName(), line.level, "", {}, line.text,
                                                     "", "", line.at, "", 0);
    line.logger->callAppenders(event);
}

bool needs_quotes(const std::string& value) {
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string::npos;
}

void append_value(std::string& line, const std::string& value) {
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        switch (c) {
        case '"':
            line += "\\\"";
            break;
        case '\\':
            line += "\\\\";
            break;
        case '\n':
            line += "\\n";
            break;
        case '\r':
            line += "\\r";
            break;
        case '\t':
            line += "\\t";
            break;
        default:
            line += c;
        }
    }
    line += '"';
}

} // namespace

std::string format_event(const event_description& description, const std::vector<event_field>& fields) {
    std::string line = event_code(static_cast<std::uint16_t>(description.number));
    line += ' ';
    line += description.name;
    for (const event_field& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    return line;
}

/// Ring and thread that write the log lines.
struct log_session::state {
    state() : writer("log_writer", [this](const std::stop_token&) { run(); }) { active = this; }

    ~state() {
        active = nullptr;
        pause.close();
        ring.close();
        writer.join();
    }

    /// Queues a line for the writer thread; writes it directly when there is no session.
    static void submit(queued_line line) {
        state* const current = active;
        if (current == nullptr) {
            write_line(line);
            return;
        }
        if (current->ring.try_push(std::move(line))) {
            ++current->submitted;
        }
    }

    void run() {
        std::uint64_t reported_dropped = 0;
        while (auto line = ring.pop()) {
            std::uint64_t batch = 0;
            for (; line; line = ring.pop_until(common::steady_clock::now())) {
                write_line(*line);
                ++batch;
            }
            const std::uint64_t total_dropped = ring.stats().dropped;
            if (total_dropped != reported_dropped) {
                write_line({&channel_logger(event_channel::daemon), log4cplus::WARN_LOG_LEVEL,
                            "log_lines_dropped total=" + std::to_string(total_dropped),
                            log4cplus::helpers::now()});
                reported_dropped = total_dropped;
            }
            std::cout.flush();
            written += batch;
            pause.pop_until(common::steady_clock::now() + batch_interval);
        }
    }

    static inline std::atomic<state*> active{nullptr};

    log4cplus::Initializer initializer;
    common::bounded_ring<queued_line> ring{max_queued_lines};
    /// Nothing is ever pushed: `pop_until` sleeps until the next batch, and `close` ends the sleep early.
    common::bounded_ring<std::monostate> pause{1};
    std::atomic<std::uint64_t> submitted{0};
    std::atomic<std::uint64_t> written{0};
    common::duty writer;
};

event_log::event_log(std::string host, std::shared_ptr<common::hybrid_clock> clock, event_sink sink)
    : m_host(std::move(host)), m_clock(std::move(clock)), m_sink(std::move(sink)) {}

void event_log::emit(event_number number, std::vector<event_field> fields) const {
    const event_description* description = find_event(static_cast<std::uint16_t>(number));
    if (description == nullptr) {
        return;
    }
    for (event_field& field : fields) {
        shorten(field.value);
    }
    const log4cplus::Logger& logger = channel_logger(description->channel);
    const log4cplus::LogLevel level = to_log4cplus_level(description->level);
    if (logger.isEnabledFor(level)) {
        log_session::state::submit(
            {&logger, level, format_event(*description, fields), log4cplus::helpers::now()});
    }
    if (!m_sink || description->level == event_level::debug) {
        return;
    }
    timeline_event event;
    event.at = m_clock->stamp(common::wall_now());
    event.host = m_host;
    event.number = static_cast<std::uint16_t>(number);
    event.level = to_string(description->level);
    event.channel = to_string(description->channel);
    event.text = description->name;
    for (event_field& field : fields) {
        event.fields.insert_or_assign(std::move(field.name), std::move(field.value));
    }
    m_sink(std::move(event));
}

log_session::log_session(event_level level) : m_state(std::make_unique<state>()) {
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, false));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    set_level(level);
}

log_session::~log_session() = default;

bool log_session::flush(common::steady_time deadline) {
    state* const current = state::active;
    if (current == nullptr) {
        return true;
    }
    const std::uint64_t wanted = current->submitted;
    // Nothing is ever pushed, so `pop_until` sleeps between two checks.
    common::bounded_ring<std::monostate> pause(1);
    while (current->written < wanted && common::steady_clock::now() < deadline) {
        pause.pop_until(common::steady_clock::now() + std::chrono::milliseconds(5));
    }
    return current->written >= wanted;
}

void log_session::set_level(event_level level) {
    log4cplus::Logger::getRoot().setLogLevel(to_log4cplus_level(level));
}

} // namespace boragehollow::telemetry
