#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragehollow::telemetry {

namespace {

/// Of the event and of each of its fields: the objects and the nodes that hold them.
constexpr std::size_t event_overhead_bytes = 256;
constexpr std::size_t field_overhead_bytes = 112;

std::size_t estimated_size(const timeline_event& event) {
    std::size_t size = event_overhead_bytes + event.text.size();
    for (const auto& [name, value] : event.fields) {
        size += field_overhead_bytes + name.size() + value.size();
    }
    return size;
}

} // namespace

void timeline_buffer::add(timeline_event event) {
    m_bytes += estimated_size(event);
    m_events.push_back(std::move(event));
    while (m_events.size() > m_capacity || (m_bytes > m_max_bytes && !m_events.empty())) {
        evict_oldest();
    }
}

void timeline_buffer::evict_oldest() {
    m_bytes -= estimated_size(m_events.front());
    m_events.pop_front();
    ++m_dropped;
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
