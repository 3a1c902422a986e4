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

/// Access to the registry in which daemons publish their gossip endpoints.
struct registry_access {
    std::function<tl::expected<void, std::string>(const std::stop_token&)> register_self;
    std::function<tl::expected<std::vector<common::endpoint>, std::string>(const std::stop_token&)> list;
    std::function<bool()> isolated; ///< True while no other live daemon is known.
    /// True if this daemon periodically looks up other daemons on behalf of its failure domain, so that
    /// separate groups of daemons find each other.
    std::function<bool()> searches_for_domain;
};

/// Thread that registers this daemon and looks up others in the registry: at the start, at short intervals
/// while no other daemon is known, and rarely afterwards, since gossip distributes all later changes.
class registry_duty {
public:
    registry_duty(registry_access access, std::function<void(std::vector<common::endpoint>)> on_found,
                  common::random_source random, const telemetry::event_log& events);
    ~registry_duty();

    void stop();

private:
    void run(const std::stop_token& stop);
    bool register_self(const std::stop_token& stop);
    bool look_up(const std::stop_token& stop);
    void wait(std::chrono::milliseconds pause);
    std::chrono::milliseconds backoff(unsigned failures);

    registry_access m_access;
    std::function<void(std::vector<common::endpoint>)> m_on_found;
    common::random_source m_random;
    const telemetry::event_log& m_events;
    common::bounded_ring<std::monostate> m_wake{1}; ///< Never filled; closing it ends a wait.
    common::duty m_thread;
};

} // namespace boragehollow::daemon
