#pragma once

#include "boragehollow/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace boragehollow::membership {

inline constexpr std::size_t bucket_count = 64;

/// Synchronization of two member tables takes one exchange when the tables are equal, and two when they
/// differ:
/// 1. The request has the bucket hashes; the reply has the hashes of the entries in the differing buckets.
/// 2. The request has the entries that the responder lacks and the hashes of the entries that the requester
///    wants; the reply has these entries, and a newer entry for each received one that was outdated.
struct sync_request {
    std::vector<std::uint64_t> bucket_hashes; ///< `bucket_count` of them, or none in the second exchange.
    std::vector<member_ref> members;
    std::vector<std::uint64_t> wanted_entries;
    bool whole_table = false; ///< A starting daemon requests all entries, including recent tombstones.
    /// Host whose withdrawn instances the sender requests; empty once it knows them.
    std::string withdrawn_of_host{};
};

struct sync_reply {
    std::vector<std::uint32_t> differing_buckets;
    std::vector<std::uint64_t> entry_hashes;
    std::vector<member_ref> members;
    std::vector<common::withdrawn_instance> withdrawn{}; ///< Of the host that the request names.
};

} // namespace boragehollow::membership
