#include "boragehollow/membership/membership_engine.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace boragehollow::membership {

namespace {

// A reply with more changes than this follows a partition or a start. Piggybacking all of them would delay
// new changes; synchronization carries them to the other members.
constexpr std::size_t max_changes_to_gossip = 256;
// When two tables differ by more entries than this, other tables are probably outdated too.
constexpr std::size_t min_differences_for_early_sync = 16;
constexpr std::chrono::seconds early_sync_interval{2};

} // namespace

sync_request membership_engine::begin_sync() const {
    sync_request request;
    if (misses_withdrawals()) {
        request.withdrawn_of_host = m_self->host;
    }
    if (!m_has_whole_table) {
        request.whole_table = true;
        request.members.push_back(m_self);
        return request;
    }
    const auto& hashes = m_table.bucket_hashes();
    request.bucket_hashes.assign(hashes.begin(), hashes.end());
    return request;
}

void membership_engine::apply_all(const std::vector<member_ref>& received, bool gossip,
                                  common::steady_time now, membership_effects& effects) {
    m_gossip_changes = gossip && received.size() <= max_changes_to_gossip;
    for (const member_ref& value : received) {
        apply(value, now, effects);
    }
    m_gossip_changes = true;
    const bool many_differences = received.size() > min_differences_for_early_sync;
    if (many_differences && m_has_whole_table) {
        m_next_sync =
            std::min(m_next_sync, now + early_sync_interval / 2 + m_random.jitter(early_sync_interval));
    }
}

sync_request_result membership_engine::handle_sync_request(const sync_request& request,
                                                           common::steady_time now) {
    sync_request_result result;
    apply_all(request.members, true, now, result.effects);
    if (!request.withdrawn_of_host.empty()) {
        result.reply.withdrawn = withdrawn_of(request.withdrawn_of_host);
    }
    if (request.whole_table) {
        for (member_ref& value : m_table.entries()) {
            if (!is_tombstone(*value)) {
                result.reply.members.push_back(std::move(value));
            }
        }
        for (member_ref& value : m_table.tombstones_since(now - 2 * m_settings.lost_target_retention)) {
            result.reply.members.push_back(std::move(value));
        }
        return result;
    }
    for (const member_ref& received : request.members) {
        member_ref known = m_table.find(received->host);
        if (known && *known != *received) {
            result.reply.members.push_back(std::move(known));
        }
    }
    const std::set<std::uint64_t> wanted(request.wanted_entries.begin(), request.wanted_entries.end());
    std::set<std::size_t> buckets;
    for (const std::uint64_t hash : wanted) {
        buckets.insert(member_table::bucket_of_entry(hash));
    }
    for (const std::size_t bucket : buckets) {
        for (member_ref& value : m_table.entries_of_bucket(bucket)) {
            if (wanted.contains(entry_hash(*value))) {
                result.reply.members.push_back(std::move(value));
            }
        }
    }
    if (request.bucket_hashes.size() != bucket_count) {
        return result;
    }
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        if (request.bucket_hashes[bucket] == m_table.bucket_hashes()[bucket]) {
            continue;
        }
        result.reply.differing_buckets.push_back(static_cast<std::uint32_t>(bucket));
        for (const member_ref& value : m_table.entries_of_bucket(bucket)) {
            if (!is_tombstone(*value)) {
                result.reply.entry_hashes.push_back(entry_hash(*value));
            }
        }
    }
    return result;
}

std::vector<common::withdrawn_instance> membership_engine::withdrawn_of(const std::string& host) const {
    std::vector<common::withdrawn_instance> withdrawn = m_withdrawals.of_host(host);
    if (const member_ref known = m_table.find(host)) {
        withdrawn.insert(withdrawn.end(), known->withdrawn.begin(), known->withdrawn.end());
    }
    return withdrawn;
}

sync_reply_result membership_engine::handle_sync_reply(const sync_reply& reply, common::steady_time now) {
    sync_reply_result result;
    sync_request next;
    if (misses_withdrawals()) {
        result.effects.push_back(own_withdrawals_received{reply.withdrawn});
    }
    apply_all(reply.members, m_has_whole_table, now, result.effects);
    if (!m_has_whole_table && !reply.members.empty()) {
        m_has_whole_table = true;
        // Also without any target, the directory is complete now.
        mark_directory_changed(now);
    }
    for (const member_ref& received : reply.members) {
        member_ref known = m_table.find(received->host);
        const bool newer_here = known && known->host != m_self->host && join(*known, *received) != *received;
        if (newer_here) {
            next.members.push_back(std::move(known));
        }
    }
    const std::set<std::uint64_t> remote_hashes(reply.entry_hashes.begin(), reply.entry_hashes.end());
    std::set<std::uint64_t> local_hashes;
    for (const std::uint32_t bucket : reply.differing_buckets) {
        if (bucket >= bucket_count) {
            continue;
        }
        for (member_ref& value : m_table.entries_of_bucket(bucket)) {
            const std::uint64_t hash = entry_hash(*value);
            local_hashes.insert(hash);
            if (!is_tombstone(*value) && !remote_hashes.contains(hash)) {
                next.members.push_back(std::move(value));
            }
        }
    }
    std::set_difference(remote_hashes.begin(), remote_hashes.end(), local_hashes.begin(), local_hashes.end(),
                        std::back_inserter(next.wanted_entries));
    if (!next.members.empty() || !next.wanted_entries.empty()) {
        result.next = std::move(next);
    }
    return result;
}

} // namespace boragehollow::membership
