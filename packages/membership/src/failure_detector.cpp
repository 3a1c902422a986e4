#include "boragehollow/membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::membership {

void probe_order::add(std::string_view host, common::random_source& random) {
    m_hosts.emplace_back(host);
    std::swap(m_hosts.back(), m_hosts[random.index(m_hosts.size())]);
}

void probe_order::remove(std::string_view host) {
    const auto found = std::find(m_hosts.begin(), m_hosts.end(), host);
    if (found == m_hosts.end()) {
        return;
    }
    if (static_cast<std::size_t>(found - m_hosts.begin()) < m_position) {
        --m_position;
    }
    m_hosts.erase(found);
}

std::string probe_order::next(common::random_source& random) {
    if (m_hosts.empty()) {
        return {};
    }
    if (m_position >= m_hosts.size()) {
        m_position = 0;
        for (std::size_t i = m_hosts.size() - 1; i > 0; --i) {
            std::swap(m_hosts[i], m_hosts[random.index(i + 1)]);
        }
    }
    return m_hosts[m_position++];
}

std::vector<std::string> probe_order::pick(std::size_t count, std::string_view excluded,
                                           common::random_source& random) const {
    std::vector<std::string> chosen;
    // Draws may repeat a member, so there are more draws than members wanted.
    const std::size_t draws = m_hosts.empty() ? 0 : count * 4;
    for (std::size_t draw = 0; draw < draws && chosen.size() < count; ++draw) {
        const std::string& host = m_hosts[random.index(m_hosts.size())];
        if (host == excluded || std::find(chosen.begin(), chosen.end(), host) != chosen.end()) {
            continue;
        }
        chosen.push_back(host);
    }
    return chosen;
}

void probe_tracker::add(probe value) {
    m_outstanding.push_back(std::move(value));
}

bool probe_tracker::acknowledge(std::uint64_t sequence, std::string_view host) {
    return std::erase_if(m_outstanding,
                         [&](const probe& p) { return p.sequence == sequence && p.host == host; }) > 0;
}

std::vector<probe> probe_tracker::take_indirect_due(common::steady_time now) {
    std::vector<probe> due;
    for (probe& open : m_outstanding) {
        if (open.indirect_sent || open.indirect_at > now) {
            continue;
        }
        open.indirect_sent = true;
        due.push_back(open);
    }
    return due;
}

std::vector<probe> probe_tracker::take_failed(common::steady_time now) {
    std::vector<probe> failed;
    for (const probe& open : m_outstanding) {
        if (open.failed_at <= now) {
            failed.push_back(open);
        }
    }
    std::erase_if(m_outstanding, [&](const probe& open) { return open.failed_at <= now; });
    return failed;
}

common::steady_time probe_tracker::next_due() const {
    common::steady_time due = common::steady_time::max();
    for (const probe& open : m_outstanding) {
        due = std::min(due, open.indirect_sent ? open.failed_at : open.indirect_at);
    }
    return due;
}

void suspicion_timers::start_remote(const std::string& host, common::steady_time verify_at) {
    suspicion remote;
    remote.verify_at = verify_at;
    m_suspicions.try_emplace(host, remote);
}

void suspicion_timers::start_local(const std::string& host, common::steady_time dead_at,
                                   common::steady_time ping_at) {
    m_suspicions[host] = {common::steady_time::max(), dead_at, ping_at};
}

std::vector<std::string> suspicion_timers::take_verifications_due(common::steady_time now) {
    std::vector<std::string> due;
    for (const auto& [host, open] : m_suspicions) {
        if (open.verify_at <= now) {
            due.push_back(host);
        }
    }
    for (const std::string& host : due) {
        m_suspicions.erase(host);
    }
    return due;
}

std::vector<std::string> suspicion_timers::take_expired(common::steady_time now) {
    std::vector<std::string> dead;
    for (const auto& [host, open] : m_suspicions) {
        if (open.dead_at <= now) {
            dead.push_back(host);
        }
    }
    for (const std::string& host : dead) {
        m_suspicions.erase(host);
    }
    return dead;
}

std::vector<std::string> suspicion_timers::take_pings_due(common::steady_time now,
                                                          std::chrono::milliseconds repeat) {
    std::vector<std::string> due;
    for (auto& [host, open] : m_suspicions) {
        if (open.ping_at <= now) {
            open.ping_at = now + repeat;
            due.push_back(host);
        }
    }
    return due;
}

common::steady_time suspicion_timers::next_due() const {
    common::steady_time due = common::steady_time::max();
    for (const auto& [host, open] : m_suspicions) {
        due = std::min({due, open.verify_at, open.dead_at, open.ping_at});
    }
    return due;
}

void suspicion_timers::postpone(common::steady_time at_least) {
    for (auto& [host, open] : m_suspicions) {
        open.dead_at = std::max(open.dead_at, at_least);
    }
}

} // namespace boragehollow::membership
