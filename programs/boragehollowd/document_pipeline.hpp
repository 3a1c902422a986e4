#pragma once

#include "boragehollow/settings/daemon_settings.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace boragehollow::daemon {

/// All duties of a daemon whose configuration comes as whole documents from the platform, joined.
class document_pipeline {
public:
    struct components;

    /// Opens the listeners and starts the duties. The error names the listener that could not be opened.
    static tl::expected<std::unique_ptr<document_pipeline>, std::string>
    start(const settings::daemon_settings& settings);

    document_pipeline(const document_pipeline&) = delete;
    document_pipeline& operator=(const document_pipeline&) = delete;
    ~document_pipeline();

    /// Addresses in use, with the ports that the system chose.
    settings::listener_settings listeners() const;

    /// Leaves the mesh, goes on serving until callers have turned away, and waits for the last call.
    void drain();

private:
    explicit document_pipeline(std::unique_ptr<components> started);

    std::unique_ptr<components> m_components;
};

} // namespace boragehollow::daemon
