#pragma once

#include "boragehollow/scenario/parser.hpp"
#include "boragehollow/scenario/statement.hpp"

#include <vector>

namespace boragehollow::scenario {

/// Checks that each statement names only daemons, domains, targets, calls and loads that stand before it.
std::vector<parse_fault> check_names(const std::vector<statement>& statements);

} // namespace boragehollow::scenario
