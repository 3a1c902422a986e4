#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace boragehollow::forwarding {

/// Cancels the work on a call whose caller disconnected. Not thread-safe.
class cancellation {
public:
    bool requested() const { return m_requested; }

    /// Marks the work as cancelled and runs the current action. Further calls have no effect.
    void request() {
        if (std::exchange(m_requested, true) || !m_action) {
            return;
        }
        // Moved out first, since the action may set another one while it runs.
        const auto action = std::exchange(m_action, nullptr);
        action();
    }

    /// Sets the action that a cancellation runs, for the lifetime of the guard.
    class [[nodiscard]] action_guard {
    public:
        action_guard(cancellation& owner, std::function<void()> action) : m_owner(owner) {
            m_owner.m_action = std::move(action);
        }
        action_guard(const action_guard&) = delete;
        action_guard& operator=(const action_guard&) = delete;
        ~action_guard() { m_owner.m_action = nullptr; }

    private:
        cancellation& m_owner;
    };

private:
    bool m_requested = false;
    std::function<void()> m_action;
};

using cancellation_ptr = std::shared_ptr<cancellation>;

} // namespace boragehollow::forwarding
