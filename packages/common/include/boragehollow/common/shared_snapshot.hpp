#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace boragehollow::common {

/// Newest immutable snapshot of the state of one duty, shared with readers on other threads.
///
/// A mutex protects only the copy of the pointer. `std::atomic<std::shared_ptr>` of libstdc++ 12 spins on an
/// internal lock, and the thread sanitizer reports a race in it.
template <class Value>
class shared_snapshot {
public:
    /// Null until the first `store`.
    std::shared_ptr<const Value> load() const {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

    void store(std::shared_ptr<const Value> value) {
        const std::lock_guard lock(m_mutex);
        // The argument takes over the previous snapshot and releases it after the lock.
        m_value.swap(value);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Value> m_value;
};

} // namespace boragehollow::common
