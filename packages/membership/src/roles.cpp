#include "boragehollow/membership/roles.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

namespace boragehollow::membership {

std::vector<std::string> log_readers(std::string_view failure_domain,
                                     const std::vector<std::string>& live_hosts) {
    return common::rendezvous_choices("log_reader/" + std::string(failure_domain), live_hosts,
                                      readers_per_domain);
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
    std::map<std::string, std::vector<std::string>> hosts_by_domain;
    for (const member_ref& value : members) {
        if (!is_tombstone(*value)) {
            hosts_by_domain[value->failure_domain].push_back(value->host);
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
