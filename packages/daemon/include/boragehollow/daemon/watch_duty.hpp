#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/config/config_snapshot.hpp"
#include "boragehollow/daemon/change_notifications.hpp"

#include <cstddef>
#include <list>
#include <memory>
#include <variant>

namespace boragehollow::daemon {

using watch_ring = common::bounded_ring<config::change_outcome>;

/// Adds a watcher. It receives the retained outcomes after `from`, then each new one. The ring is closed when
/// it is full; the watcher then has to restart from the last revision that it read.
struct open_watch {
    common::revision from;
    std::shared_ptr<watch_ring> outcomes;
};

using watch_message = std::variant<open_watch, config_changed>;

/// Thread that delivers the outcome of every change to the operators' watches.
class watch_duty {
public:
    explicit watch_duty(std::size_t ring_size);
    ~watch_duty();

    /// Processes the queued messages, joins the thread and closes the rings of all watchers.
    void stop();

    common::bounded_ring<watch_message>& ring() { return m_ring; }

private:
    struct watcher {
        common::revision last;
        std::weak_ptr<watch_ring> outcomes;
    };

    void run();
    void handle(const open_watch& message);
    void handle(const config_changed& message);
    bool deliver(watcher& to) const;

    std::shared_ptr<const config::config_snapshot> m_snapshot;
    std::list<watcher> m_watchers;
    common::bounded_ring<watch_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
