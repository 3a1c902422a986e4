#pragma once

#include "boragehollow/scenario/statement.hpp"
#include "word_cursor.hpp"

#include <string>

namespace boragehollow::scenario {

statement_body parse_call(word_cursor& words);
statement_body parse_load(word_cursor& words);

/// Reads METHOD PATH.
call_plan parse_request_line(word_cursor& words);

/// Reads one option of a request (`via`, `host`, `size` ...); false when the next word is none.
bool parse_plan_option(word_cursor& words, call_plan& plan);

/// Reads one expectation of an answer (`status`, `outcome`, `target`); false when the next word is none.
bool parse_call_expectation(word_cursor& words, call_expectation& expected);

} // namespace boragehollow::scenario
