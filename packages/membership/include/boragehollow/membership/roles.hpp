#pragma once

#include "boragehollow/membership/member.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Roles follow from the live members alone, without a lock: two daemons that see different members may both
/// hold a role for a while, and every role tolerates that.
namespace boragehollow::membership {

inline constexpr std::size_t readers_per_domain = 2;

/// The live members of `failure_domain` that read the platform's log, first choice first.
std::vector<std::string> log_readers(std::string_view failure_domain,
                                     const std::vector<std::string>& live_hosts);

/// The live members of `failure_domain` that collect progress reports for its log readers, about the square
/// root of the domain. Empty in a small domain, whose members report to the log readers themselves.
std::vector<std::string> progress_collectors(std::string_view failure_domain,
                                             const std::vector<std::string>& live_hosts);

/// The collector that `host` reports to; `collectors` must not be empty.
const std::string& collector_of(std::string_view host, const std::vector<std::string>& collectors);

/// The log readers of all failure domains.
std::vector<std::string> all_log_readers(const std::vector<member_ref>& members);

/// The log reader that appends snapshots for the whole mesh; empty when there is no reader.
std::optional<std::string> compactor(const std::vector<std::string>& readers);

} // namespace boragehollow::membership
