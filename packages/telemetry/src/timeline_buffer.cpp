#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragehollow::telemetry {

void timeline_buffer::add(timeline_event event) {
    if (m_capacity == 0) {
        ++m_dropped;
        return;
    }
    if (m_events.size() >= m_capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
}

timeline_page timeline_buffer::query(std::optional<common::hybrid_time> since, std::size_t limit) const {
    timeline_page page;
    page.dropped = m_dropped;
    for (auto event = m_events.rbegin(); event != m_events.rend(); ++event) {
        if (page.events.size() >= limit) {
            break;
        }
        if (since && event->at <= *since) {
            continue;
        }
        page.events.push_back(*event);
    }
    std::reverse(page.events.begin(), page.events.end());
    return page;
}

std::vector<timeline_event> merge_timelines(const std::vector<std::vector<timeline_event>>& timelines) {
    std::vector<timeline_event> merged;
    for (const auto& timeline : timelines) {
        merged.insert(merged.end(), timeline.begin(), timeline.end());
    }
    std::stable_sort(merged.begin(), merged.end(), [](const timeline_event& a, const timeline_event& b) {
        return std::tie(a.at, a.host) < std::tie(b.at, b.host);
    });
    return merged;
}

} // namespace boragehollow::telemetry
