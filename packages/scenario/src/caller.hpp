#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/scenario/observations.hpp"
#include "boragehollow/scenario/statement.hpp"

#include <stop_token>
#include <string>

namespace boragehollow::scenario {

/// Sends one request and reads its answer. A request for which no connection could be opened was not run.
call_answer perform_call(const call_plan& plan, const common::endpoint& daemon, const std::string& id,
                         const std::stop_token& stop);

/// Compares an answer with an expectation; the result says what differs, or is empty.
std::string difference(const call_answer& answer, const call_expectation& expected);

} // namespace boragehollow::scenario
