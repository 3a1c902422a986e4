#pragma once

#include "boragehollow/scenario/parser.hpp"
#include "boragehollow/scenario/statement.hpp"

#include <vector>

namespace boragehollow::scenario {

/// Checks that each statement refers only to daemons, domains, targets, calls and loads that an earlier
/// statement declares.
std::vector<parse_error> check_names(const std::vector<statement>& statements);

} // namespace boragehollow::scenario
