#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <variant>

namespace boragehollow::daemon {

/// Waits for the next configuration document, for a bounded time. Empty: there was none. An error tells why
/// the source did not answer.
using document_poll =
    std::function<tl::expected<std::optional<std::string>, std::string>(const std::stop_token&)>;

struct state_source_settings {
    /// Pause after a document, so that a quick series of them costs one read for several.
    std::chrono::milliseconds pause_after_document{350};
    std::chrono::milliseconds min_backoff{150};
    std::chrono::milliseconds max_backoff{1'200};
};

/// Thread that reads configuration documents from the platform, at a bounded rate.
class state_source_duty {
public:
    state_source_duty(state_source_settings settings, document_poll poll,
                      std::function<void(std::string)> document, common::random_source random,
                      const telemetry::event_log& events);
    ~state_source_duty();

    void stop();

private:
    void run(const std::stop_token& stop);
    std::chrono::milliseconds failed(const std::string& detail);
    void wait(std::chrono::milliseconds pause);

    state_source_settings m_settings;
    document_poll m_poll;
    std::function<void(std::string)> m_document;
    common::random_source m_random;
    const telemetry::event_log& m_events;
    std::chrono::milliseconds m_backoff;
    bool m_reachable = true;
    common::bounded_ring<std::monostate> m_wake{1}; ///< Only closed, to end a pause.
    common::duty m_thread;
};

} // namespace boragehollow::daemon
