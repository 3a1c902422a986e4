#include "boragehollow/membership/progress_collector.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>

namespace boragehollow::membership {

namespace {

// With 8 bytes for each host, the header and a few versions still fit into 1,200 bytes.
constexpr std::size_t max_hosts_per_datagram = 100;

} // namespace

void progress_collector::record(const std::string& host, common::revision applied, common::steady_time now) {
    const auto [known, unknown] = m_applied.try_emplace(host, applied);
    if (!unknown && applied <= known->second) {
        return;
    }
    known->second = applied;
    m_changed_hosts.insert(host);
    m_next_changes = std::min(m_next_changes, now + change_delay);
}

std::vector<std::vector<collected_progress>> progress_collector::take_due(common::steady_time now) {
    std::vector<std::vector<collected_progress>> lists;
    if (now < next_due()) {
        return lists;
    }
    const bool repeat = now >= m_next_repeat;
    std::map<common::revision, std::vector<std::uint64_t>> hosts_by_version;
    for (const auto& [host, applied] : m_applied) {
        if (repeat || m_changed_hosts.contains(host)) {
            hosts_by_version[applied].push_back(common::stable_hash(host));
        }
    }
    m_changed_hosts.clear();
    m_next_changes = common::steady_time::max();
    if (repeat) {
        m_next_repeat = now + repeat_interval;
    }
    std::size_t remaining_hosts = 0;
    for (const auto& [applied, hosts] : hosts_by_version) {
        for (const std::uint64_t host : hosts) {
            if (remaining_hosts == 0) {
                lists.emplace_back();
                remaining_hosts = max_hosts_per_datagram;
            }
            std::vector<collected_progress>& list = lists.back();
            if (list.empty() || list.back().applied != applied) {
                list.push_back({applied, {}});
                // A version takes about as many bytes as two hosts.
                remaining_hosts -= std::min<std::size_t>(remaining_hosts - 1, 2);
            }
            list.back().host_hashes.push_back(host);
            --remaining_hosts;
        }
    }
    return lists;
}

common::steady_time progress_collector::next_due() const {
    return m_applied.empty() ? m_next_changes : std::min(m_next_changes, m_next_repeat);
}

} // namespace boragehollow::membership
