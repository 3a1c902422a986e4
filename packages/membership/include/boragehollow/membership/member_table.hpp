#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/membership/member.hpp"
#include "boragehollow/membership/synchronization.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace boragehollow::membership {

enum class merge_outcome {
    unchanged, ///< The table already held exactly this.
    changed,   ///< The table took something over, and now holds exactly the received entry.
    combined,  ///< The table took a part over and keeps a newer part of its own.
    outdated,  ///< The table holds something newer and took nothing over.
};

struct merge_result {
    merge_outcome outcome = merge_outcome::unchanged;
    member_ref before; ///< Empty when the host was unknown.
    member_ref after;
};

/// Join of two entries of one host: the higher incarnation wins; within an incarnation the more severe state
/// and, independently, the announcement with the higher sequence. Commutative, associative and idempotent.
member join(const member& left, const member& right);

/// Hash of one entry for reconciliation; its first 6 bits are the bucket. A suspected member hashes like a
/// live one, because suspicions end before a reconciliation could matter. 0 for a tombstone: tombstones
/// expire at different times on different hosts and are not reconciled.
std::uint64_t entry_hash(const member& value);

class member_table {
public:
    static constexpr std::chrono::hours tombstone_retention{24};
    /// A tombstone of a host that was unknown here is kept for a short time only; otherwise daemons that
    /// start one after the other would hand it on for ever.
    static constexpr std::chrono::minutes unknown_tombstone_retention{10};

    merge_result merge(member_ref received, common::steady_time now);

    member_ref find(std::string_view host) const;
    std::vector<member_ref> entries() const;
    std::vector<member_ref> tombstones_since(common::steady_time since) const;
    std::size_t size() const { return m_entries.size(); }

    const std::array<std::uint64_t, bucket_count>& bucket_hashes() const { return m_bucket_hashes; }
    std::vector<member_ref> entries_of_bucket(std::size_t bucket) const;
    /// The entries of one failure domain share a few buckets, so that many changes in one domain leave the
    /// buckets of the others equal.
    static std::size_t bucket_of(const member& value);
    static std::size_t bucket_of_entry(std::uint64_t hash);

    /// Removes the tombstones whose time is over and returns them.
    std::vector<member_ref> expire(common::steady_time now);

private:
    struct entry {
        member_ref value;
        common::steady_time tombstone_until{};
        common::steady_time changed{};
    };

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>()(text);
        }
    };

    std::unordered_map<std::string, entry, text_hash, std::equal_to<>> m_entries;
    std::array<std::vector<std::string>, bucket_count> m_hosts_by_bucket;
    std::array<std::uint64_t, bucket_count> m_bucket_hashes{};
};

} // namespace boragehollow::membership
