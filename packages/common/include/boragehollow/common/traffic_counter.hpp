#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace boragehollow::common {

/// Bytes and messages that one transport has sent and received. Thread-safe.
class traffic_counter {
public:
    struct totals {
        std::uint64_t sent_bytes = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t sent_messages = 0;
        std::uint64_t received_messages = 0;
    };

    void sent(std::size_t bytes) {
        m_sent_bytes.fetch_add(bytes, std::memory_order_relaxed);
        m_sent_messages.fetch_add(1, std::memory_order_relaxed);
    }
    void received(std::size_t bytes) {
        m_received_bytes.fetch_add(bytes, std::memory_order_relaxed);
        m_received_messages.fetch_add(1, std::memory_order_relaxed);
    }
    totals read() const {
        return {m_sent_bytes.load(std::memory_order_relaxed),
                m_received_bytes.load(std::memory_order_relaxed),
                m_sent_messages.load(std::memory_order_relaxed),
                m_received_messages.load(std::memory_order_relaxed)};
    }

private:
    std::atomic<std::uint64_t> m_sent_bytes{0};
    std::atomic<std::uint64_t> m_received_bytes{0};
    std::atomic<std::uint64_t> m_sent_messages{0};
    std::atomic<std::uint64_t> m_received_messages{0};
};

} // namespace boragehollow::common
