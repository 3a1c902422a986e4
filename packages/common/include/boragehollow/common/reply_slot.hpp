#pragma once

#include "boragehollow/common/time.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace boragehollow::common {

/// One-shot reply from a duty to a requesting thread. Copies share the same slot.
///
/// After the requesting thread has timed out, `set` returns false, so that the duty can undo what it granted.
template <class Reply>
class reply_slot {
public:
    reply_slot() : m_state(std::make_shared<state>()) {}

    /// Returns false when the requesting thread has already timed out or a reply was set before.
    bool set(Reply reply) const {
        {
            const std::lock_guard lock(m_state->mutex);
            if (m_state->abandoned || m_state->replied) {
                return false;
            }
            m_state->replied = true;
            m_state->reply.emplace(std::move(reply));
        }
        m_state->ready.notify_one();
        return true;
    }

    /// Waits for the reply. After a timeout the slot is abandoned and a later `set` returns false.
    std::optional<Reply> wait_until(steady_time deadline) const {
        std::unique_lock lock(m_state->mutex);
        m_state->ready.wait_until(lock, deadline, [&] { return m_state->replied; });
        if (!m_state->replied) {
            m_state->abandoned = true;
            return std::nullopt;
        }
        return std::exchange(m_state->reply, std::nullopt);
    }

private:
    struct state {
        std::mutex mutex;
        std::condition_variable ready;
        std::optional<Reply> reply;
        bool replied = false;
        bool abandoned = false;
    };

    std::shared_ptr<state> m_state;
};

} // namespace boragehollow::common
