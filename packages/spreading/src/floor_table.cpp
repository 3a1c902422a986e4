#include "boragehollow/spreading/floor_table.hpp"

#include <algorithm>

namespace boragehollow::spreading {

void floor_table::record(const std::string& host, common::revision version, common::steady_time now) {
    entry& known = m_entries[host];
    known.version = std::max(known.version, version);
    known.observed = now;
}

common::revision floor_table::floor_of(const std::string& host) const {
    const auto found = m_entries.find(host);
    return found == m_entries.end() ? common::revision{} : found->second.version;
}

void floor_table::prune(common::steady_time now) {
    std::erase_if(m_entries, [&](const auto& item) { return now - item.second.observed > m_retention; });
}

} // namespace boragehollow::spreading
