#pragma once

#include "boragehollow/rollout/evidence.hpp"
#include "boragehollow/rollout/plan.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Messages of roll-outs between daemons, and the record of a stage.
namespace boragehollow::codec {

std::string encode_plans(const std::vector<rollout::plan>& plans);
tl::expected<std::vector<rollout::plan>, std::string> decode_plans(std::string_view text);

std::string encode_report(const rollout::report& value);
tl::expected<rollout::report, std::string> decode_report(std::string_view text);

std::string encode_stage_record(const rollout::stage_record& value);
tl::expected<rollout::stage_record, std::string> decode_stage_record(std::string_view text);

} // namespace boragehollow::codec
