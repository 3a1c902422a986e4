#pragma once

#include "boragehollow/scenario/observations.hpp"

#include <string>
#include <vector>

namespace boragehollow::scenario {

/// One breach of a guarantee.
struct violation {
    std::string guarantee; ///< Label of the guarantee, `G1` to `G9`.
    std::string detail;
};

/// Checks the observations of a run against the guarantees. Returns an empty list if all of them hold.
std::vector<violation> check_guarantees(const observations& observed);

/// Returns the request ids that occur more than once in all ledgers together, for any method.
std::vector<std::string> repeated_ids(const std::vector<ledger>& ledgers);

} // namespace boragehollow::scenario
