#pragma once

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

/// The log reader that appends snapshots for the whole mesh; empty when there is no reader.
std::optional<std::string> compactor(const std::vector<std::string>& readers);

} // namespace boragehollow::membership
