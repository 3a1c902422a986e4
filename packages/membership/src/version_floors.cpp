#include "boragehollow/membership/version_floors.hpp"

namespace boragehollow::membership {

void version_floors::record(const std::string& host, common::revision applied, common::steady_time now) {
    entry& known = m_entries[host];
    known.version = std::max(known.version, applied);
    known.observed = now;
}

common::revision version_floors::floor(std::string_view host) const {
    const auto found = m_entries.find(std::string(host));
    return found == m_entries.end() ? common::revision{} : found->second.version;
}

void version_floors::expire(common::steady_time now) {
    std::erase_if(m_entries, [&](const auto& item) { return item.second.observed + retention <= now; });
}

} // namespace boragehollow::membership
