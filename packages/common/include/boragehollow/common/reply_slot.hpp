#pragma once

#include "boragehollow/common/time.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace boragehollow::common {

/// One-shot answer from a duty to the thread that asked it. Copies share the same slot.
///
/// `abandon` lets the asking thread give up; `set` then returns false, so that the duty can undo what it
/// granted.
template <class Reply>
class reply_slot {
public:
    reply_slot() : m_state(std::make_shared<state>()) {}

    /// Returns false when the asking thread has already given up or an answer was set before.
    bool set(Reply reply) const {
        {
            const std::lock_guard lock(m_state->mutex);
            if (m_state->abandoned || m_state->answered) {
                return false;
            }
            m_state->answered = true;
            m_state->reply.emplace(std::move(reply));
        }
        m_state->ready.notify_one();
        return true;
    }

    /// Waits for the answer. After a time-out the slot is abandoned and a later `set` returns false.
    std::optional<Reply> wait_until(steady_time deadline) const {
        std::unique_lock lock(m_state->mutex);
        m_state->ready.wait_until(lock, deadline, [&] { return m_state->answered; });
        if (!m_state->answered) {
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
        bool answered = false;
        bool abandoned = false;
    };

    std::shared_ptr<state> m_state;
};

} // namespace boragehollow::common
