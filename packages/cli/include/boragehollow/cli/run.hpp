#pragma once

#include "boragehollow/cli/arguments.hpp"
#include "boragehollow/cli/exit_code.hpp"

#include <iosfwd>

namespace boragehollow::cli {

/// Runs one command to its end. Results go to `out`, refusals and faults to `err`.
exit_code run(const invocation& call, std::ostream& out, std::ostream& err);

} // namespace boragehollow::cli
