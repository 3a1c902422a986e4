#include "boragehollow/membership/member_table.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::membership {

namespace {

constexpr unsigned bucket_bits = 6;
constexpr unsigned hash_bits = 64 - bucket_bits;
constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
static_assert(bucket_count == std::size_t{1} << bucket_bits);

} // namespace

member join(const member& left, const member& right) {
    if (left.incarnation != right.incarnation) {
        return left.incarnation > right.incarnation ? left : right;
    }
    member joined = left.target_sequence >= right.target_sequence ? left : right;
    joined.state = std::max(left.state, right.state);
    // A daemon of an older release passes entries on without the bandwidth and the withdrawn instances.
    joined.link_megabits = std::max(left.link_megabits, right.link_megabits);
    if (left.target_sequence == right.target_sequence && joined.withdrawn.empty()) {
        joined.withdrawn = right.withdrawn;
    }
    return joined;
}

std::uint64_t entry_hash(const member& value) {
    if (is_tombstone(value)) {
        return 0;
    }
    const std::uint64_t seed = value.incarnation * golden_ratio + value.target_sequence;
    const std::uint64_t bucket = member_table::bucket_of(value);
    return bucket << hash_bits | common::stable_hash(value.host, seed) >> bucket_bits;
}

std::size_t member_table::bucket_of(const member& value) {
    constexpr std::size_t buckets_per_domain = 4;
    constexpr std::size_t domain_groups = bucket_count / buckets_per_domain;
    const std::size_t group = common::stable_hash(value.failure_domain) % domain_groups;
    return group * buckets_per_domain + common::stable_hash(value.host) % buckets_per_domain;
}

std::size_t member_table::bucket_of_entry(std::uint64_t hash) {
    return hash >> hash_bits;
}

merge_result member_table::merge(member_ref received, common::steady_time now) {
    const auto [position, inserted] = m_entries.try_emplace(received->host);
    entry& known = position->second;
    merge_result result;
    result.before = known.value;
    if (inserted) {
        m_hosts_by_bucket[bucket_of(*received)].push_back(received->host);
        result.outcome = merge_outcome::changed;
        result.after = std::move(received);
    } else {
        const member joined = join(*known.value, *received);
        const bool as_known = joined == *known.value;
        const bool as_received = joined == *received;
        if (as_known) {
            result.outcome = as_received ? merge_outcome::unchanged : merge_outcome::outdated;
            result.after = known.value;
            return result;
        }
        result.outcome = as_received ? merge_outcome::changed : merge_outcome::combined;
        result.after = as_received ? std::move(received) : std::make_shared<const member>(joined);
    }
    const std::size_t bucket = bucket_of(*result.after);
    if (result.before) {
        const std::size_t bucket_before = bucket_of(*result.before);
        m_bucket_hashes[bucket_before] ^= entry_hash(*result.before);
        if (bucket_before != bucket) {
            std::erase(m_hosts_by_bucket[bucket_before], result.before->host);
            m_hosts_by_bucket[bucket].push_back(result.before->host);
        }
    }
    m_bucket_hashes[bucket] ^= entry_hash(*result.after);
    known.value = result.after;
    known.changed_at = now;
    if (is_tombstone(*result.after)) {
        known.tombstone_until = now + tombstone_retention;
        if (inserted) {
            known.tombstone_until = now + unknown_tombstone_retention;
        }
    }
    return result;
}

member_ref member_table::find(std::string_view host) const {
    const auto found = m_entries.find(host);
    return found == m_entries.end() ? nullptr : found->second.value;
}

std::vector<member_ref> member_table::entries() const {
    std::vector<member_ref> all;
    all.reserve(m_entries.size());
    for (const auto& [host, known] : m_entries) {
        all.push_back(known.value);
    }
    return all;
}

std::vector<member_ref> member_table::tombstones_since(common::steady_time since) const {
    std::vector<member_ref> recent;
    for (const auto& [host, known] : m_entries) {
        if (is_tombstone(*known.value) && known.changed_at >= since) {
            recent.push_back(known.value);
        }
    }
    return recent;
}

std::vector<member_ref> member_table::entries_of_bucket(std::size_t bucket) const {
    std::vector<member_ref> found;
    for (const std::string& host : m_hosts_by_bucket.at(bucket)) {
        found.push_back(m_entries.at(host).value);
    }
    return found;
}

std::vector<member_ref> member_table::expire(common::steady_time now) {
    std::vector<member_ref> expired;
    for (const auto& [host, known] : m_entries) {
        if (is_tombstone(*known.value) && known.tombstone_until <= now) {
            expired.push_back(known.value);
        }
    }
    for (const member_ref& value : expired) {
        std::erase(m_hosts_by_bucket[bucket_of(*value)], value->host);
        m_entries.erase(value->host);
    }
    return expired;
}

} // namespace boragehollow::membership
