#include "boragehollow/common/hybrid_clock.hpp"

namespace boragehollow::common {

hybrid_time hybrid_clock::stamp(wall_time now) {
    const std::lock_guard lock(m_mutex);
    return advance(now);
}

hybrid_time hybrid_clock::observe(hybrid_time remote, wall_time now) {
    const std::lock_guard lock(m_mutex);
    if (remote > m_last && remote.wall <= now + max_remote_lead) {
        m_last = remote;
    }
    return advance(now);
}

hybrid_time hybrid_clock::advance(wall_time now) {
    if (now > m_last.wall) {
        m_last = {now, 0};
    } else {
        ++m_last.counter;
    }
    return m_last;
}

} // namespace boragehollow::common
