#pragma once

#include "boragehollow/scenario/statement.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <filesystem>
#include <iosfwd>
#include <stop_token>
#include <string>
#include <vector>

namespace boragehollow::scenario {

struct runner_options {
    std::filesystem::path daemon_program;
    std::filesystem::path platform_log_program;
    std::filesystem::path target_program;
    std::filesystem::path directory;       ///< Receives settings files and logs; must exist.
    std::filesystem::path scenario_folder; ///< File names of `apply` are relative to this folder.
    std::uint64_t seed = 0;
};

/// The statement that failed and the reason.
struct scenario_failure {
    statement failed;
    std::string reason;
    std::string timeline; ///< Merged events of all daemons, one per line.
};

/// Runs a scenario and writes one line per statement to `output`. All processes that it started have ended
/// when it returns.
tl::expected<void, scenario_failure> run_scenario(const std::vector<statement>& statements,
                                                  const runner_options& options, std::ostream& output,
                                                  const std::stop_token& stop);

} // namespace boragehollow::scenario
