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
    std::filesystem::path directory;       ///< For settings files and logs; must exist.
    std::filesystem::path scenario_folder; ///< Files of `apply` are looked up from here.
    std::uint64_t seed = 0;
};

struct scenario_failure {
    statement failed;
    std::string reason;
    std::string timeline; ///< Events of all daemons in one order, one on each line.
};

/// Runs a scenario; progress goes to `output`, one line for each statement. When it returns, every process
/// that it started has ended.
tl::expected<void, scenario_failure> run_scenario(const std::vector<statement>& statements,
                                                  const runner_options& options, std::ostream& output,
                                                  const std::stop_token& stop);

} // namespace boragehollow::scenario
