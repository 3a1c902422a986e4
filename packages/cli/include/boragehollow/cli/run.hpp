#pragma once

#include "boragehollow/cli/arguments.hpp"
#include "boragehollow/cli/exit_code.hpp"

#include <iosfwd>

namespace boragehollow::cli {

/// Runs one command. Results are written to `out`, rejections and errors to `err`.
exit_code run(const invocation& call, std::ostream& out, std::ostream& err);

} // namespace boragehollow::cli
