#pragma once

#include "boragehollow/common/duty.hpp"

#include <csignal>
#include <filesystem>
#include <memory>

namespace boragehollow::measure {

/// Blocks SIGINT and SIGTERM in the calling thread and all that it starts later.
sigset_t block_stop_signals();

/// Waits for a stop signal; then ends all processes that this one has started, removes `scratch` unless it is
/// empty, and exits.
std::unique_ptr<common::duty> end_on_signal(const sigset_t& signals, const std::filesystem::path& scratch);

} // namespace boragehollow::measure
