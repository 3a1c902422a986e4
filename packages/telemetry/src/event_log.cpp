#include "boragehollow/telemetry/event_log.hpp"

#include <array>
#include <utility>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

namespace boragehollow::telemetry {

namespace {

log4cplus::LogLevel library_level(event_level level) {
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

/// One logger for each channel, looked up once, since log4cplus finds loggers by name under a lock.
const log4cplus::Logger& channel_logger(event_channel channel) {
    static const auto loggers = [] {
        std::array<log4cplus::Logger, static_cast<std::size_t>(event_channel::testing) + 1> result;
        for (std::size_t index = 0; index < result.size(); ++index) {
            const auto name = to_string(static_cast<event_channel>(index));
            result.at(index) = log4cplus::Logger::getInstance(std::string(name));
        }
        return result;
    }();
    return loggers.at(static_cast<std::size_t>(channel));
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

event_log::event_log(std::string host, std::shared_ptr<common::hybrid_clock> clock, event_sink sink)
    : m_host(std::move(host)), m_clock(std::move(clock)), m_sink(std::move(sink)) {}

void event_log::emit(event_number number, std::vector<event_field> fields) const {
    const event_description* description = find_event(static_cast<std::uint16_t>(number));
    if (description == nullptr) {
        return;
    }
    const log4cplus::Logger& logger = channel_logger(description->channel);
    const log4cplus::LogLevel level = library_level(description->level);
    if (logger.isEnabledFor(level)) {
        logger.log(level, format_event(*description, fields), nullptr, 0);
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

struct log_session::state {
    log4cplus::Initializer initializer;
};

log_session::log_session(event_level level) : m_state(std::make_unique<state>()) {
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    set_level(level);
}

log_session::~log_session() = default;

void log_session::set_level(event_level level) {
    log4cplus::Logger::getRoot().setLogLevel(library_level(level));
}

} // namespace boragehollow::telemetry
