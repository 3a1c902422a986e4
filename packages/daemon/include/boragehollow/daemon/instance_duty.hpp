#pragma once

#include "boragehollow/admission/instance_tracker.hpp"
#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace boragehollow::daemon {

/// A target announced itself; the reply states whether the announcement was accepted.
struct instance_announced {
    admission::instance_announcement announcement;
    common::reply_slot<admission::announcement_result> reply;
};

/// A target announced its shutdown.
struct instance_departed {
    std::string id;
    std::uint64_t incarnation = 0; ///< 0 when the target did not state it.
    common::reply_slot<bool> reply;
};

/// The target refused a connection or identified itself as another instance.
struct instance_unreachable {};

using instance_message = std::variant<instance_announced, instance_departed, instance_unreachable>;

/// Thread that tracks the current instance of the target on this host. An announcement of a drain or a
/// shutdown is acknowledged only after the change was published.
class instance_duty {
public:
    instance_duty(admission::instance_tracker_settings settings,
                  std::function<void(std::optional<admission::current_instance>)> on_changed,
                  std::size_t ring_size, const telemetry::event_log& events);
    ~instance_duty();

    void stop();

    common::bounded_ring<instance_message>& ring() { return m_ring; }

private:
    void run();
    void handle(instance_announced& message, common::steady_time now);
    void handle(const instance_departed& message, common::steady_time now);
    void handle(const instance_unreachable& message, common::steady_time now);
    void publish_current();

    admission::instance_tracker m_tracker;
    std::function<void(std::optional<admission::current_instance>)> m_on_changed;
    const telemetry::event_log& m_events;
    common::bounded_ring<instance_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
