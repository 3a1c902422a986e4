#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace boragehollow::common {

/// Newest immutable snapshot of one duty's state, for readers on other threads.
template <class Value>
class published {
public:
    /// Null until the first `store`.
    std::shared_ptr<const Value> load() const { return m_value.load(std::memory_order_acquire); }

    void store(std::shared_ptr<const Value> value) {
        m_value.store(std::move(value), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const Value>> m_value;
};

} // namespace boragehollow::common
