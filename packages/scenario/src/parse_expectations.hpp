#pragma once

#include "boragehollow/scenario/statement.hpp"
#include "word_cursor.hpp"

namespace boragehollow::scenario {

statement_body parse_expect(word_cursor& words);

} // namespace boragehollow::scenario
