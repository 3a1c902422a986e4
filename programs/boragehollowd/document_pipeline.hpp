#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace boragehollow::daemon {

/// Owns and connects all duties of a daemon whose configuration comes as whole documents from the platform.
class document_pipeline {
public:
    struct components;

    /// Opens the listeners and starts the duties. The error names the listener that could not be opened.
    static tl::expected<std::unique_ptr<document_pipeline>, std::string>
    start(const settings::daemon_settings& settings);

    document_pipeline(const document_pipeline&) = delete;
    document_pipeline& operator=(const document_pipeline&) = delete;
    ~document_pipeline();

    /// Bound addresses, with the ports that the system chose.
    settings::listener_settings listeners() const;

    /// Puts into force what can change while the daemon runs: the log level and the target's heartbeat
    /// interval. An event names the changed entries that take effect at the next start. Calls must not
    /// overlap.
    void reload(const settings::daemon_settings& settings);

    /// Announces the departure, continues to serve until callers have stopped sending new work, leaves the
    /// mesh and waits for the last call.
    void drain();

private:
    explicit document_pipeline(std::unique_ptr<components> started);

    std::unique_ptr<components> m_components;
};

} // namespace boragehollow::daemon
