#pragma once

#include "boragehollow/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Roles are derived from the live members alone, without a distributed lock. Two daemons with different
/// views of the members may both hold a role for a while; every role tolerates that.
namespace boragehollow::membership {

inline constexpr std::size_t readers_per_domain = 2;

/// Live member that may become a log reader.
struct reader_candidate {
    std::string host;
    std::uint32_t link_megabits = 0; ///< 0 when not stated.
};

/// Returns the live members of `failure_domain` that read the platform's log, in order of preference. A
/// reader sends each version to its whole domain, so members with a slow link are chosen only if there are
/// too few others.
std::vector<std::string> log_readers(std::string_view failure_domain,
                                     const std::vector<reader_candidate>& live_members);

/// For members of which the bandwidth is not known.
std::vector<std::string> log_readers(std::string_view failure_domain,
                                     const std::vector<std::string>& live_hosts);

/// Returns the live members of `failure_domain` that collect progress reports for its log readers; their
/// number is about the square root of the size of the domain. Empty in a small domain, whose members report
/// to the log readers directly.
std::vector<std::string> progress_collectors(std::string_view failure_domain,
                                             const std::vector<std::string>& live_hosts);

/// Returns the collector that `host` reports to; `collectors` must not be empty.
const std::string& collector_of(std::string_view host, const std::vector<std::string>& collectors);

/// Returns the log readers of all failure domains.
std::vector<std::string> all_log_readers(const std::vector<member_ref>& members);

/// Returns the log reader that appends snapshots for the whole mesh, or nothing when there is no reader.
std::optional<std::string> compactor(const std::vector<std::string>& readers);

} // namespace boragehollow::membership
