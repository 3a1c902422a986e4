#pragma once

namespace boragehollow::cli {

/// Exit codes of the command-line client. Scripts depend on the numbers.
enum class exit_code {
    done = 0,
    failed = 1,
    usage = 2,
    rejected = 3,
    not_reachable = 4,
    outcome_unknown = 5,
};

} // namespace boragehollow::cli
