#pragma once

#include "boragehollow/scenario/observations.hpp"

#include <string>
#include <vector>

namespace boragehollow::scenario {

struct violation {
    std::string guarantee; ///< `G1` to `G9`.
    std::string detail;
};

/// Compares what was seen with the guarantees; empty when all hold.
std::vector<violation> check_promises(const observations& seen);

/// Ids that stand more than once in all ledgers together, whatever their method.
std::vector<std::string> repeated_ids(const std::vector<ledger>& ledgers);

} // namespace boragehollow::scenario
