#pragma once

#include "boragehollow/scenario/statement.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::scenario {

struct parse_error {
    std::size_t line = 0;
    std::string message;
};

/// Parses a scenario and checks the names it uses. On failure returns every error found, ordered by line.
tl::expected<std::vector<statement>, std::vector<parse_error>> parse_scenario(std::string_view text);

} // namespace boragehollow::scenario
