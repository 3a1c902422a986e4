#include "boragehollow/daemon/watch_duty.hpp"

namespace boragehollow::daemon {

watch_duty::watch_duty(std::size_t ring_size)
    : m_ring(ring_size), m_thread("watch", [this](const std::stop_token&) { run(); }) {}

watch_duty::~watch_duty() {
    stop();
}

void watch_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void watch_duty::run() {
    while (auto message = m_ring.pop()) {
        std::visit([&](const auto& concrete) { handle(concrete); }, *message);
    }
    for (const watcher& each : m_watchers) {
        if (const auto outcomes = each.outcomes.lock()) {
            outcomes->close();
        }
    }
}

void watch_duty::handle(const open_watch& message) {
    watcher added{message.from, message.outcomes};
    if (deliver(added)) {
        m_watchers.push_back(std::move(added));
    }
}

void watch_duty::handle(const config_changed& message) {
    m_snapshot = message.snapshot;
    m_watchers.remove_if([&](watcher& each) { return !deliver(each); });
}

bool watch_duty::deliver(watcher& to) const {
    const auto outcomes = to.outcomes.lock();
    if (!outcomes) {
        return false;
    }
    if (!m_snapshot) {
        return true;
    }
    for (const auto& [at, outcome] : m_snapshot->outcomes()) {
        if (at <= to.last) {
            continue;
        }
        if (!outcomes->try_push(outcome)) {
            outcomes->close();
            return false;
        }
        to.last = at;
    }
    return true;
}

} // namespace boragehollow::daemon
