#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace boragehollow::spreading {

/// Highest version that each host is known to have applied. An entry is removed when the host has not stated
/// a version for the retention time.
class floor_table {
public:
    explicit floor_table(std::chrono::hours retention) : m_retention(retention) {}

    void record(const std::string& host, common::revision version, common::steady_time now);

    /// Returns revision 0 for an unknown host.
    common::revision floor_of(const std::string& host) const;

    void prune(common::steady_time now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        common::revision version;
        common::steady_time observed;
    };

    std::chrono::hours m_retention;
    std::unordered_map<std::string, entry> m_entries;
};

} // namespace boragehollow::spreading
