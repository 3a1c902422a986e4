#include "boragehollow/membership/version_floors.hpp"

namespace boragehollow::membership {

void version_floors::heard(const std::string& host, common::revision applied, common::steady_time now) {
    record& known = m_records[host];
    known.highest = std::max(known.highest, applied);
    known.heard = now;
}

common::revision version_floors::floor(std::string_view host) const {
    const auto found = m_records.find(std::string(host));
    return found == m_records.end() ? common::revision{} : found->second.highest;
}

void version_floors::expire(common::steady_time now) {
    std::erase_if(m_records, [&](const auto& item) { return item.second.heard + retention <= now; });
}

} // namespace boragehollow::membership
