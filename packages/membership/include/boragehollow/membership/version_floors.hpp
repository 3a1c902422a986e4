#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>

namespace boragehollow::membership {

/// Highest version that each host has been heard to have applied. It outlives the host's entry, so that a
/// host which restarts without any state can be told what it must not fall behind.
class version_floors {
public:
    static constexpr std::chrono::hours retention{24};

    void heard(const std::string& host, common::revision applied, common::steady_time now);
    common::revision floor(std::string_view host) const;
    void expire(common::steady_time now);

private:
    struct record {
        common::revision highest;
        common::steady_time heard{};
    };

    std::unordered_map<std::string, record> m_records;
};

} // namespace boragehollow::membership
