#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/daemon/registry_schedule.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <tl/expected.hpp>

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
    std::function<mesh_observation()> observe;
};

/// Thread that registers this daemon and looks up others in the registry when the schedule says so.
class registry_duty {
public:
    registry_duty(registry_access access, std::function<void(std::vector<common::endpoint>)> on_found,
                  common::random_source random, const telemetry::event_log& events);
    ~registry_duty();

    void stop();

private:
    void run(const std::stop_token& stop);
    void register_self(const std::stop_token& stop);
    void look_up(const std::stop_token& stop);

    registry_access m_access;
    std::function<void(std::vector<common::endpoint>)> m_on_found;
    registry_schedule m_schedule;
    const telemetry::event_log& m_events;
    common::bounded_ring<std::monostate> m_wake{1}; ///< Never filled; closing it ends a wait.
    common::duty m_thread;
};

} // namespace boragehollow::daemon
