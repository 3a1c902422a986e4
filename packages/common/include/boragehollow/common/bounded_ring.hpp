#pragma once

#include "boragehollow/common/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace boragehollow::common {

/// Counters of one ring. `dropped` counts the messages that a full or closed ring refused or evicted.
struct ring_stats {
    std::size_t depth = 0;
    std::size_t capacity = 0;
    std::size_t max_depth = 0;
    std::uint64_t pushed = 0;
    std::uint64_t dropped = 0;
};

/// Bounded first-in-first-out queue between two duties. Readers and writers wait on condition variables.
///
/// The writer chooses what happens when the ring is full: `try_push` refuses the message, `push_until` waits
/// for space, and `push_newest` evicts the oldest message.
template <class Message>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : m_capacity(capacity) {}

    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;

    /// Returns false, and leaves `message` unmoved, when the ring is full or closed.
    bool try_push(Message&& message) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_messages.size() >= m_capacity) {
                ++m_dropped;
                return false;
            }
            append(std::move(message));
        }
        m_not_empty.notify_one();
        return true;
    }

    bool try_push(const Message& message) {
        Message copy = message;
        return try_push(std::move(copy));
    }

    /// Waits for space until `deadline`; returns false when there was none or the ring was closed.
    bool push_until(Message message, steady_time deadline) {
        {
            std::unique_lock lock(m_mutex);
            m_not_full.wait_until(lock, deadline, [&] { return m_closed || m_messages.size() < m_capacity; });
            if (m_closed || m_messages.size() >= m_capacity) {
                ++m_dropped;
                return false;
            }
            append(std::move(message));
        }
        m_not_empty.notify_one();
        return true;
    }

    /// Evicts the oldest message when the ring is full. Returns false only when the ring is closed.
    bool push_newest(Message message) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed) {
                ++m_dropped;
                return false;
            }
            if (m_messages.size() >= m_capacity) {
                m_messages.pop_front();
                ++m_dropped;
            }
            append(std::move(message));
        }
        m_not_empty.notify_one();
        return true;
    }

    /// Waits for a message; an empty result means that the ring is closed and drained.
    std::optional<Message> pop() {
        std::unique_lock lock(m_mutex);
        m_not_empty.wait(lock, [&] { return m_closed || !m_messages.empty(); });
        return take(lock);
    }

    /// Waits for a message until `deadline`; an empty result means a timeout, or that the ring is closed and
    /// drained.
    std::optional<Message> pop_until(steady_time deadline) {
        std::unique_lock lock(m_mutex);
        m_not_empty.wait_until(lock, deadline, [&] { return m_closed || !m_messages.empty(); });
        return take(lock);
    }

    /// Refuses further messages and wakes all waiting threads. Messages already queued can still be read.
    void close() {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_not_empty.notify_all();
        m_not_full.notify_all();
    }

    bool is_closed() const {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    ring_stats stats() const {
        const std::lock_guard lock(m_mutex);
        return {m_messages.size(), m_capacity, m_max_depth, m_pushed, m_dropped};
    }

private:
    void append(Message&& message) {
        m_messages.push_back(std::move(message));
        ++m_pushed;
        if (m_messages.size() > m_max_depth) {
            m_max_depth = m_messages.size();
        }
    }

    std::optional<Message> take(std::unique_lock<std::mutex>& lock) {
        if (m_messages.empty()) {
            return std::nullopt;
        }
        std::optional<Message> message(std::move(m_messages.front()));
        m_messages.pop_front();
        lock.unlock();
        m_not_full.notify_one();
        return message;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_not_empty;
    std::condition_variable m_not_full;
    std::deque<Message> m_messages;
    std::size_t m_capacity;
    std::size_t m_max_depth = 0;
    std::uint64_t m_pushed = 0;
    std::uint64_t m_dropped = 0;
    bool m_closed = false;
};

} // namespace boragehollow::common
