#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <stop_token>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::daemon {

/// Where daemons leave their gossip endpoints for one another.
struct registry_access {
    std::function<tl::expected<void, std::string>(const std::stop_token&)> register_self;
    std::function<tl::expected<std::vector<common::endpoint>, std::string>(const std::stop_token&)> list;
    std::function<bool()> isolated; ///< No other daemon is known to be alive.
    /// This daemon looks for the ones of its failure domain, too, when groups of daemons may have met apart.
    std::function<bool()> searches_for_domain;
};

/// Thread that enters this daemon in the registry and looks for others there: at the start, soon again while
/// it is alone, and then rarely, since gossip carries the rest.
class registry_duty {
public:
    registry_duty(registry_access access, std::function<void(std::vector<common::endpoint>)> found,
                  common::random_source random, const telemetry::event_log& events);
    ~registry_duty();

    void stop();

private:
    void run(const std::stop_token& stop);
    bool register_host(const std::stop_token& stop);
    bool look_up(const std::stop_token& stop);
    void wait(std::chrono::milliseconds pause);
    std::chrono::milliseconds backoff(unsigned failures);

    registry_access m_access;
    std::function<void(std::vector<common::endpoint>)> m_found;
    common::random_source m_random;
    const telemetry::event_log& m_events;
    common::bounded_ring<std::monostate> m_wake{1}; ///< Only closed, to end a pause.
    common::duty m_thread;
};

} // namespace boragehollow::daemon
