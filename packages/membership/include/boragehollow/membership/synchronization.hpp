#pragma once

#include "boragehollow/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace boragehollow::membership {

inline constexpr std::size_t bucket_count = 64;

/// Reconciliation of two tables takes two exchanges when something differs, and one when nothing does:
/// 1. bucket hashes -> hashes of the entries in the differing buckets;
/// 2. entries that the responder lacks, and hashes of those that the requester wants -> the wanted entries,
/// and
///    a newer entry for each received one that was outdated.
struct sync_request {
    std::vector<std::uint64_t> bucket_hashes; ///< `bucket_count` of them, or none in the second exchange.
    std::vector<member_ref> members;
    std::vector<std::uint64_t> wanted_entries;
    bool whole_table = false; ///< A starting daemon asks for everything, including recent tombstones.
};

struct sync_reply {
    std::vector<std::uint32_t> differing_buckets;
    std::vector<std::uint64_t> entry_hashes;
    std::vector<member_ref> members;
};

} // namespace boragehollow::membership
