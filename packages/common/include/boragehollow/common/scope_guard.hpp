#pragma once

#include <utility>

namespace boragehollow::common {

/// Runs an action at the end of the scope unless dismissed.
template <class Action>
class scope_guard {
public:
    explicit scope_guard(Action action) : m_action(std::move(action)) {}

    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;

    ~scope_guard() {
        if (m_active) {
            m_action();
        }
    }

    void dismiss() { m_active = false; }

private:
    Action m_action;
    bool m_active = true;
};

} // namespace boragehollow::common
