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

/// Adds a watcher. It gets the outcomes after `from` that are still remembered, then each new one. When its
/// ring is full the ring is closed, and the watcher has to start again from the last revision that it read.
struct open_watch {
    common::revision from;
    std::shared_ptr<watch_ring> outcomes;
};

using watch_message = std::variant<open_watch, config_changed>;

/// Thread that hands the outcome of every change to the operators that watch.
class watch_duty {
public:
    explicit watch_duty(std::size_t ring_size);
    ~watch_duty();

    /// Ends the thread after the messages that are queued; its sinks are not called afterwards.
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
