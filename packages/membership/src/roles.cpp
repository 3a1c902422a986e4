#include "boragehollow/membership/roles.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

namespace boragehollow::membership {

namespace {

/// A link with less than this part of the bandwidth of the domain's fastest link is a slow one.
constexpr std::uint32_t slow_link_divisor = 2;

} // namespace

std::vector<std::string> log_readers(std::string_view failure_domain,
                                     const std::vector<reader_candidate>& live_members) {
    std::uint32_t fastest = 0;
    for (const reader_candidate& member : live_members) {
        fastest = std::max(fastest, member.link_megabits);
    }
    std::vector<std::string> fast;
    std::vector<std::string> slow;
    for (const reader_candidate& member : live_members) {
        const bool is_slow = member.link_megabits < fastest / slow_link_divisor;
        (is_slow ? slow : fast).push_back(member.host);
    }
    const std::string key = "log_reader/" + std::string(failure_domain);
    std::vector<std::string> readers = common::rendezvous_choices(key, fast, readers_per_domain);
    const std::vector<std::string> others =
        common::rendezvous_choices(key, slow, readers_per_domain - readers.size());
    readers.insert(readers.end(), others.begin(), others.end());
    return readers;
}

std::vector<std::string> log_readers(std::string_view failure_domain,
                                     const std::vector<std::string>& live_hosts) {
    std::vector<reader_candidate> candidates;
    candidates.reserve(live_hosts.size());
    for (const std::string& host : live_hosts) {
        candidates.push_back({host, 0});
    }
    return log_readers(failure_domain, candidates);
}

std::vector<std::string> progress_collectors(std::string_view failure_domain,
                                             const std::vector<std::string>& live_hosts) {
    // In a domain of this size a log reader receives less than 7 KB of reports for one change, about 100
    // bytes from each member.
    constexpr std::size_t max_direct_report_members = 64;
    if (live_hosts.size() <= max_direct_report_members) {
        return {};
    }
    const auto count = static_cast<std::size_t>(std::sqrt(static_cast<double>(live_hosts.size())));
    return common::rendezvous_choices("progress/" + std::string(failure_domain), live_hosts, count);
}

const std::string& collector_of(std::string_view host, const std::vector<std::string>& collectors) {
    return collectors[common::stable_hash(host) % collectors.size()];
}

std::vector<std::string> all_log_readers(const std::vector<member_ref>& members) {
    std::map<std::string, std::vector<reader_candidate>> hosts_by_domain;
    for (const member_ref& value : members) {
        if (!is_tombstone(*value)) {
            hosts_by_domain[value->failure_domain].push_back({value->host, value->link_megabits});
        }
    }
    std::vector<std::string> readers;
    for (const auto& [domain, hosts] : hosts_by_domain) {
        std::vector<std::string> chosen = log_readers(domain, hosts);
        std::move(chosen.begin(), chosen.end(), std::back_inserter(readers));
    }
    return readers;
}

std::optional<std::string> compactor(const std::vector<std::string>& readers) {
    std::vector<std::string> first = common::rendezvous_choices("compactor", readers, 1);
    if (first.empty()) {
        return std::nullopt;
    }
    return std::move(first.front());
}

} // namespace boragehollow::membership
