#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace boragehollow::forwarding {

/// Tells the work on a call that its caller is gone. Used on one thread only.
class cancellation {
public:
    bool requested() const { return m_requested; }

    /// Runs the action of the stage that the call is in.
    void request() {
        if (std::exchange(m_requested, true) || !m_action) {
            return;
        }
        // The action may replace itself while it runs.
        const auto action = std::exchange(m_action, nullptr);
        action();
    }

    /// Sets the action for the life of the returned guard.
    class [[nodiscard]] stage {
    public:
        stage(cancellation& owner, std::function<void()> action) : m_owner(owner) {
            m_owner.m_action = std::move(action);
        }
        stage(const stage&) = delete;
        stage& operator=(const stage&) = delete;
        ~stage() { m_owner.m_action = nullptr; }

    private:
        cancellation& m_owner;
    };

private:
    bool m_requested = false;
    std::function<void()> m_action;
};

using cancellation_ptr = std::shared_ptr<cancellation>;

} // namespace boragehollow::forwarding
