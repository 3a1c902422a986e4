#pragma once

#include "boragehollow/scenario/statement.hpp"
#include "word_cursor.hpp"

#include <string>

namespace boragehollow::scenario {

statement_body parse_call(word_cursor& words);
statement_body parse_load(word_cursor& words);

/// Parses METHOD PATH.
call_plan parse_request_line(word_cursor& words);

/// Parses one option of a request (`via`, `host`, `size` ...). Returns false if the next word is not an
/// option.
bool parse_plan_option(word_cursor& words, call_plan& plan);

/// Parses one expectation of a call (`status`, `outcome`, `target`). Returns false if the next word is not
/// one.
bool parse_call_expectation(word_cursor& words, call_expectation& expected);

} // namespace boragehollow::scenario
