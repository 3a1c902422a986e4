#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>

namespace boragehollow::membership {

/// Highest version that each host is known to have applied. It is kept after the host's entry is removed, so
/// that a host which restarts without state learns which version it must reach before it serves.
class version_floors {
public:
    static constexpr std::chrono::hours retention{24};

    void record(const std::string& host, common::revision applied, common::steady_time now);
    common::revision floor(std::string_view host) const;
    void expire(common::steady_time now);

private:
    struct entry {
        common::revision version;
        common::steady_time observed{};
    };

    std::unordered_map<std::string, entry> m_entries;
};

} // namespace boragehollow::membership
