#pragma once

#include "boragehollow/config/config_snapshot.hpp"
#include "boragehollow/membership/target_directory.hpp"

#include <memory>

/// Notifications that several duties receive.
namespace boragehollow::daemon {

/// A newer configuration is active on this daemon.
struct config_changed {
    std::shared_ptr<const config::config_snapshot> snapshot;
};

/// The target directory changed.
struct targets_changed {
    std::shared_ptr<const membership::target_directory> directory;
};

} // namespace boragehollow::daemon
