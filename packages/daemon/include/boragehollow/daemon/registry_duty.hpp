#pragma once

#include "boragehollow/admission/instance_tracker.hpp"
#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/save_progress.hpp"
#include "boragehollow/daemon/registry_schedule.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

namespace boragehollow::daemon {

/// What one lookup in the registry finds.
struct registry_listing {
    std::vector<common::endpoint> endpoints; ///< Gossip endpoints of the registered hosts.
    /// Incarnations of this host's target that were withdrawn, as saved last.
    std::vector<admission::withdrawn_instance> withdrawn;
};

/// Access to the registry in which daemons publish their gossip endpoints and save what must bind after their
/// restart.
struct registry_access {
    std::function<tl::expected<void, std::string>(const std::stop_token&)> register_self;
    std::function<tl::expected<registry_listing, std::string>(const std::stop_token&)> list;
    std::function<tl::expected<void, std::string>(const std::vector<admission::withdrawn_instance>&,
                                                  const std::stop_token&)>
        save_withdrawn;
    std::function<mesh_observation()> observe;
    /// Latest known epoch of the platform log, which rises when the log is restored from an earlier copy; 0
    /// if none is known.
    std::function<std::uint64_t()> log_epoch;
};

struct registry_sinks {
    std::function<void(std::vector<common::endpoint>)> found;
    /// Called once, after the first successful lookup.
    std::function<void(std::vector<admission::withdrawn_instance>)> restored;
};

/// Replaces what is saved of the withdrawn incarnations of this host's target.
struct save_withdrawn {
    std::vector<admission::withdrawn_instance> withdrawn;
    common::save_progress::attempt_ref attempt; ///< Released when a later state replaces this one.
};

/// Thread that registers this daemon and looks up others in the registry when the schedule says so, and saves
/// withdrawn incarnations. A save that fails is retried until it succeeds or a later one replaces it. The
/// first save follows the first lookup, as it would otherwise replace what a previous process saved. After a
/// restore of the platform log, this duty registers and saves again.
class registry_duty {
public:
    registry_duty(registry_access access, registry_sinks sinks, common::random_source random,
                  const telemetry::event_log& events);
    ~registry_duty();

    void stop();

    common::bounded_ring<save_withdrawn>& ring() { return m_ring; }

private:
    void run(const std::stop_token& stop);
    void register_self(const std::stop_token& stop);
    void look_up(const std::stop_token& stop);
    void wait_until(common::steady_time end);
    void repeat_writes_after_restore();
    void save(const std::stop_token& stop);

    registry_access m_access;
    registry_sinks m_sinks;
    registry_schedule m_schedule;
    const telemetry::event_log& m_events;
    bool m_restored = false;
    std::uint64_t m_log_epoch = 0;
    std::optional<save_withdrawn> m_unsaved;
    std::optional<std::vector<admission::withdrawn_instance>> m_last_saved;
    common::steady_time m_save_at; ///< Of `m_unsaved`.
    common::bounded_ring<save_withdrawn> m_ring{16};
    common::duty m_thread;
};

} // namespace boragehollow::daemon
