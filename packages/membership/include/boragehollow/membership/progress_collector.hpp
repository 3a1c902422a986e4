#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/membership/datagram.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace boragehollow::membership {

/// Collects the progress reports of the members that report to this daemon. Changes are forwarded after a
/// short delay, so that a log reader of a large domain receives a few datagrams for each configuration change
/// instead of one from each member.
class progress_collector {
public:
    static constexpr std::chrono::milliseconds change_delay{1000};
    /// All reports are sent again after this time, to make up for lost datagrams and to inform new log
    /// readers.
    static constexpr std::chrono::seconds repeat_interval{30};

    explicit progress_collector(common::steady_time now) : m_next_repeat(now + repeat_interval) {}

    void record(const std::string& host, common::revision applied, common::steady_time now);
    void remove(const std::string& host) { m_applied.erase(host); }

    /// Returns the reports that are due, split so that each list fits into one datagram.
    std::vector<std::vector<collected_progress>> take_due(common::steady_time now);
    common::steady_time next_due() const;

private:
    std::map<std::string, common::revision> m_applied;
    std::set<std::string> m_changed_hosts;
    common::steady_time m_next_changes = common::steady_time::max();
    common::steady_time m_next_repeat;
};

} // namespace boragehollow::membership
