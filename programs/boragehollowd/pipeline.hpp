#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace boragehollow::daemon {

/// Owns and connects all duties of a daemon whose configuration comes from the platform log.
class pipeline {
public:
    struct components;

    /// Opens the listeners and starts the duties. The error names the listener that could not be opened.
    static tl::expected<std::unique_ptr<pipeline>, std::string>
    start(const settings::daemon_settings& settings);

    pipeline(const pipeline&) = delete;
    pipeline& operator=(const pipeline&) = delete;
    ~pipeline();

    /// Bound addresses, with the ports that the system chose.
    settings::listener_settings listeners() const;

    /// Puts the log level into force; an event names the changed entries that take effect at the next start.
    /// Calls must not overlap.
    void reload(const settings::daemon_settings& settings);

    /// Refuses new work and waits until the last call has ended, or until the drain limit if one is set.
    void drain();

private:
    explicit pipeline(std::unique_ptr<components> started);

    std::unique_ptr<components> m_components;
};

} // namespace boragehollow::daemon
