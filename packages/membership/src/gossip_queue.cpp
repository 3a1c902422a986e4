#include "boragehollow/membership/gossip_queue.hpp"

#include "boragehollow/membership/datagram.hpp"

#include <algorithm>
#include <chrono>

namespace boragehollow::membership {

gossip_queue::gossip_queue(std::size_t bytes_per_second, std::size_t burst_bytes, common::steady_time now)
    : m_rate(static_cast<double>(bytes_per_second)), m_burst(static_cast<double>(burst_bytes)),
      m_tokens(m_burst), m_refilled(now) {}

void gossip_queue::add(member_ref value, bool urgent) {
    const std::size_t bytes = estimated_size(*value);
    queued& slot = m_by_host[value->host];
    if (slot.value) {
        m_order.erase(slot.position);
    }
    slot.position = {!urgent, 0, ++m_arrivals, value->host};
    slot.bytes = bytes;
    slot.value = std::move(value);
    m_order.insert(slot.position);
}

void gossip_queue::take(std::size_t available_bytes, std::size_t transmissions, common::steady_time now,
                        std::vector<member>& members) {
    refill(now);
    const std::size_t already = members.size();
    std::vector<queue_position> taken;
    for (const queue_position& position : m_order) {
        const queued& candidate = m_by_host.at(position.host);
        // Urgent entries may overdraw the token bucket: a refutation that waited behind suspicions would
        // arrive after the member was declared dead.
        const double available = position.non_urgent ? m_tokens : m_tokens + m_burst;
        if (candidate.bytes > available_bytes || static_cast<double>(candidate.bytes) > available) {
            break;
        }
        const auto end = members.begin() + static_cast<std::ptrdiff_t>(already);
        const bool present =
            std::any_of(members.begin(), end, [&](const member& m) { return m.host == position.host; });
        taken.push_back(position);
        if (present) {
            continue;
        }
        members.push_back(*candidate.value);
        available_bytes -= candidate.bytes;
        m_tokens -= static_cast<double>(candidate.bytes);
    }
    for (const queue_position& position : taken) {
        queued& sent = m_by_host.at(position.host);
        m_order.erase(position);
        if (++sent.position.sent >= transmissions) {
            m_by_host.erase(position.host);
            continue;
        }
        m_order.insert(sent.position);
    }
}

bool gossip_queue::has_tokens(common::steady_time now) {
    refill(now);
    return m_tokens >= static_cast<double>(max_datagram_bytes);
}

void gossip_queue::refill(common::steady_time now) {
    const std::chrono::duration<double> passed = now - m_refilled;
    m_tokens = std::min(m_burst, m_tokens + m_rate * passed.count());
    m_refilled = now;
}

} // namespace boragehollow::membership
