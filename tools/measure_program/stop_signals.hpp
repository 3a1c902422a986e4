#pragma once

#include "boragehollow/common/duty.hpp"

#include <csignal>
#include <filesystem>
#include <memory>

namespace boragehollow::measure {

/// Blocks SIGINT and SIGTERM in the calling thread and in all threads that it starts afterwards.
sigset_t block_stop_signals();

/// Starts a thread that waits for a stop signal, then kills all child processes, removes
/// `temporary_directory` (if not empty) and exits.
std::unique_ptr<common::duty> exit_on_signal(const sigset_t& signals,
                                             const std::filesystem::path& temporary_directory);

} // namespace boragehollow::measure
