#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/scenario/observations.hpp"
#include "boragehollow/scenario/statement.hpp"

#include <stop_token>
#include <string>

namespace boragehollow::scenario {

/// Sends one request and reads the response. The outcome is `not_run` if no connection could be opened.
call_result perform_call(const call_plan& plan, const common::endpoint& daemon, const std::string& id,
                         const std::stop_token& stop);

/// Describes how a result differs from the expectation; empty if it matches.
std::string difference(const call_result& result, const call_expectation& expected);

} // namespace boragehollow::scenario
