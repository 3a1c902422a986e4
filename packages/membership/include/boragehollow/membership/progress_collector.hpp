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

/// Reports of the members for which this daemon is the collector. News is handed on after a short wait, so
/// that a log reader of a large domain receives a few datagrams for each change instead of one from each
/// member.
class progress_collector {
public:
    static constexpr std::chrono::milliseconds news_delay{1000};
    /// Everything is repeated after this time, for lost datagrams and for new log readers.
    static constexpr std::chrono::seconds repeat_interval{30};

    explicit progress_collector(common::steady_time now) : m_next_repeat(now + repeat_interval) {}

    void heard(const std::string& host, common::revision applied, common::steady_time now);
    void forget(const std::string& host) { m_applied.erase(host); }

    /// What is due, split so that each list fits into one datagram.
    std::vector<std::vector<collected_progress>> take_due(common::steady_time now);
    common::steady_time next_due() const;

private:
    std::map<std::string, common::revision> m_applied;
    std::set<std::string> m_news;
    common::steady_time m_next_news = common::steady_time::max();
    common::steady_time m_next_repeat;
};

} // namespace boragehollow::membership
