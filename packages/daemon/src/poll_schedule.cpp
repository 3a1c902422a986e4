#include "boragehollow/daemon/poll_schedule.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

void poll_schedule::set_position(reader_position position) {
    // The polls made at another position may coincide with those of the other readers.
    m_first_poll = m_first_poll || m_position != position;
    m_position = position;
}

std::chrono::milliseconds poll_schedule::next_wait() {
    const auto readers =
        static_cast<std::chrono::milliseconds::rep>(std::max<std::size_t>(1, m_position.readers));
    const auto whole = std::clamp(m_settings.slot * readers, m_settings.min_wait, m_settings.max_wait);
    if (!std::exchange(m_first_poll, false)) {
        return whole;
    }
    const auto index = static_cast<std::chrono::milliseconds::rep>(m_position.index) % readers;
    return whole * (index + 1) / readers;
}

} // namespace boragehollow::daemon
