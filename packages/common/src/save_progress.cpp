#include "boragehollow/common/save_progress.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>

namespace boragehollow::common {

struct save_progress::state {
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t pending = 0;
    bool succeeded = false;
};

save_progress::attempt::attempt(std::shared_ptr<state> shared) : m_state(std::move(shared)) {
    const std::lock_guard lock(m_state->mutex);
    ++m_state->pending;
}

save_progress::attempt::~attempt() {
    {
        const std::lock_guard lock(m_state->mutex);
        --m_state->pending;
    }
    m_state->changed.notify_all();
}

void save_progress::attempt::succeed() const {
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->succeeded = true;
    }
    m_state->changed.notify_all();
}

save_progress::save_progress() : m_state(std::make_shared<state>()) {}

save_progress::attempt_ref save_progress::begin() const {
    return std::make_shared<const attempt>(m_state);
}

bool save_progress::wait_until(steady_time deadline) const {
    std::unique_lock lock(m_state->mutex);
    m_state->changed.wait_until(lock, deadline,
                                [this] { return m_state->succeeded || m_state->pending == 0; });
    return m_state->succeeded;
}

bool save_progress::succeeded() const {
    const std::lock_guard lock(m_state->mutex);
    return m_state->succeeded;
}

} // namespace boragehollow::common
