#include "boragehollow/quota/known_daemons.hpp"

#include <algorithm>

namespace boragehollow::quota {

namespace {

constexpr std::chrono::seconds dead_daemon_retention{60};

} // namespace

std::uint32_t known_daemons::observe(const std::vector<observed_daemon>& view, std::size_t registered,
                                     common::steady_time now) {
    m_first_view = m_first_view.value_or(now);
    std::size_t alive = 0;
    for (const observed_daemon& daemon : view) {
        switch (daemon.state) {
        case daemon_state::alive:
            ++alive;
            m_dead_since[daemon.host].reset();
            break;
        case daemon_state::dead:
            if (auto& since = m_dead_since[daemon.host]; !since) {
                since = now;
            }
            break;
        case daemon_state::left:
            m_dead_since.erase(daemon.host);
            break;
        }
    }
    const std::size_t count = std::max(m_dead_since.size(), registered);
    if (now - *m_first_view <= dead_daemon_retention || 2 * alive <= count) {
        return static_cast<std::uint32_t>(count);
    }
    std::erase_if(m_dead_since, [&](const auto& entry) {
        return entry.second && now - *entry.second > dead_daemon_retention;
    });
    return static_cast<std::uint32_t>(m_dead_since.size());
}

} // namespace boragehollow::quota
