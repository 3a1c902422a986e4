#include "boragehollow/membership/withdrawal_records.hpp"

#include <algorithm>

namespace boragehollow::membership {

namespace {

/// Bounds the memory where a host's daemon restarts again and again.
constexpr std::size_t max_instances_of_host = 8;

} // namespace

void withdrawal_records::record(const std::string& host,
                                const std::vector<common::withdrawn_instance>& withdrawn,
                                common::steady_time now) {
    if (withdrawn.empty()) {
        return;
    }
    entry& known = m_entries[host];
    known.recorded = now;
    for (const common::withdrawn_instance& each : withdrawn) {
        std::erase_if(known.withdrawn,
                      [&](const common::withdrawn_instance& earlier) { return earlier.id == each.id; });
        known.withdrawn.push_back(each);
    }
    if (known.withdrawn.size() > max_instances_of_host) {
        known.withdrawn.erase(known.withdrawn.begin(), known.withdrawn.end() - max_instances_of_host);
    }
}

std::vector<common::withdrawn_instance> withdrawal_records::of_host(std::string_view host) const {
    const auto found = m_entries.find(std::string(host));
    return found == m_entries.end() ? std::vector<common::withdrawn_instance>() : found->second.withdrawn;
}

void withdrawal_records::expire(common::steady_time now) {
    std::erase_if(m_entries, [&](const auto& item) { return item.second.recorded + retention <= now; });
}

} // namespace boragehollow::membership
