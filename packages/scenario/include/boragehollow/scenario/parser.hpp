#pragma once

#include "boragehollow/scenario/statement.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::scenario {

struct parse_fault {
    std::size_t line = 0;
    std::string message;
};

/// Reads a scenario. All faults are reported, one for each faulty statement.
tl::expected<std::vector<statement>, std::vector<parse_fault>> parse_scenario(std::string_view text);

} // namespace boragehollow::scenario
