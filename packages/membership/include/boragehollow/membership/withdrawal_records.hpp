#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/common/withdrawn_instance.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace boragehollow::membership {

/// Withdrawn instances of hosts whose daemon was replaced by a new process. The new process does not know
/// them, and a delayed announcement would make it use the target again.
class withdrawal_records {
public:
    /// A delayed announcement is seconds late, and a new process asks within seconds after its start.
    static constexpr std::chrono::minutes retention{2};

    void record(const std::string& host, const std::vector<common::withdrawn_instance>& withdrawn,
                common::steady_time now);
    std::vector<common::withdrawn_instance> of_host(std::string_view host) const;
    void expire(common::steady_time now);

private:
    struct entry {
        std::vector<common::withdrawn_instance> withdrawn;
        common::steady_time recorded{};
    };

    std::unordered_map<std::string, entry> m_entries;
};

} // namespace boragehollow::membership
