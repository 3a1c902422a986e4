#pragma once

#include "boragehollow/admission/instance_tracker.hpp"
#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/common/save_progress.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::daemon {

struct announcement_reply {
    admission::announcement_result result;
    /// Of the drain that the announcement reports; empty if it reports none.
    std::optional<common::save_progress> saved;
};

/// A target announced itself; the reply states whether the announcement was accepted.
struct instance_announced {
    admission::instance_announcement announcement;
    common::reply_slot<announcement_reply> reply;
};

/// A target announced its shutdown. The reply is the progress of saving the departure.
struct instance_departed {
    std::string id;
    std::uint64_t incarnation = 0; ///< 0 when the target did not state it.
    common::reply_slot<common::save_progress> reply;
};

/// Who keeps withdrawn incarnations for a restart: the platform's log and the other daemons of the mesh.
enum class history_source { log, mesh };

/// Incarnations that were withdrawn before this process started.
struct history_restored {
    history_source source = history_source::log;
    std::vector<admission::withdrawn_instance> withdrawn;
};

/// The target refused a connection or identified itself as another instance.
struct instance_unreachable {};

/// The platform changed the interval of the target's announcements.
struct silence_timeout_changed {
    std::chrono::milliseconds timeout;
};

using instance_message = std::variant<instance_announced, instance_departed, instance_unreachable,
                                      history_restored, silence_timeout_changed>;

/// Receivers of the instance duty's decisions.
struct instance_sinks {
    std::function<void(std::optional<admission::current_instance>)> changed;
    /// Saves what was withdrawn, so that it binds after a restart. Must not block.
    std::function<void(std::vector<admission::withdrawn_instance>, const common::save_progress&)> save;
};

/// Thread that tracks the current instance of the target on this host. An announcement of a drain or a
/// shutdown may be acknowledged only after the change was published and saved, since this process may end at
/// any time.
class instance_duty {
public:
    instance_duty(admission::instance_tracker_settings settings, instance_sinks sinks, std::size_t ring_size,
                  const telemetry::event_log& events);
    ~instance_duty();

    void stop();

    common::bounded_ring<instance_message>& ring() { return m_ring; }

private:
    void run();
    void handle(instance_announced& message, common::steady_time now);
    void handle(const instance_departed& message, common::steady_time now);
    void handle(const instance_unreachable& message, common::steady_time now);
    void handle(const history_restored& message, common::steady_time now);
    void handle(const silence_timeout_changed& message, common::steady_time now);
    /// Empty if the announcement reports no drain. A drain that is not saved yet is saved again.
    std::optional<common::save_progress>
    progress_of_drain(const admission::instance_announcement& announcement,
                      const admission::announcement_result& result);
    void publish_current();
    void save_withdrawn();

    admission::instance_tracker m_tracker;
    instance_sinks m_sinks;
    const telemetry::event_log& m_events;
    std::vector<admission::withdrawn_instance> m_last_saved; ///< As passed on, or as read from the log.
    common::save_progress m_saved;                           ///< Of `m_last_saved`.
    bool m_log_told = false;
    bool m_mesh_told = false;
    common::bounded_ring<instance_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
