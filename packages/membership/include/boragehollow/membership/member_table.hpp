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
    unchanged, ///< The table already held an equal entry.
    changed,   ///< The table now holds exactly the received entry.
    combined,  ///< The table now holds a join of its own entry and the received one.
    outdated,  ///< The table holds a newer entry and did not change.
};

struct merge_result {
    merge_outcome outcome = merge_outcome::unchanged;
    member_ref before; ///< Empty when the host was unknown.
    member_ref after;
};

/// Joins two entries of one host. The entry with the higher incarnation wins. Within an incarnation the
/// result has the more severe of the two states and the target announcement with the higher sequence, which
/// may come from different entries. Commutative, associative and idempotent.
member join(const member& left, const member& right);

/// Hash of one entry for synchronization; its highest 6 bits are the bucket. A suspected member has the hash
/// of a live one, because a suspicion is refuted or confirmed before a synchronization could matter. 0 for a
/// tombstone: tombstones expire at different times on different hosts and are not synchronized.
std::uint64_t entry_hash(const member& value);

class member_table {
public:
    static constexpr std::chrono::hours tombstone_retention{24};
    /// A tombstone of a host that was unknown is kept for a short time only; otherwise daemons that start one
    /// after the other would pass it on indefinitely.
    static constexpr std::chrono::minutes unknown_tombstone_retention{10};

    merge_result merge(member_ref received, common::steady_time now);

    member_ref find(std::string_view host) const;
    std::vector<member_ref> entries() const;
    std::vector<member_ref> tombstones_since(common::steady_time since) const;
    std::size_t size() const { return m_entries.size(); }

    const std::array<std::uint64_t, bucket_count>& bucket_hashes() const { return m_bucket_hashes; }
    std::vector<member_ref> entries_of_bucket(std::size_t bucket) const;
    /// The entries of one failure domain share a few buckets, so that many changes in one domain do not
    /// affect the buckets of the others.
    static std::size_t bucket_of(const member& value);
    static std::size_t bucket_of_entry(std::uint64_t hash);

    /// Removes the tombstones whose retention time has passed, and returns them.
    std::vector<member_ref> expire(common::steady_time now);

private:
    struct entry {
        member_ref value;
        common::steady_time tombstone_until{};
        common::steady_time changed_at{};
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
