#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace boragehollow::spreading {

/// Highest version that each host is known to have applied, kept for a time after the host was last heard.
class floor_table {
public:
    explicit floor_table(std::chrono::hours retention) : m_retention(retention) {}

    void record(const std::string& host, common::revision version, common::steady_time now);

    /// Revision 0 when the host is not known.
    common::revision of(const std::string& host) const;

    void prune(common::steady_time now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        common::revision version;
        common::steady_time heard;
    };

    std::chrono::hours m_retention;
    std::unordered_map<std::string, entry> m_entries;
};

} // namespace boragehollow::spreading
