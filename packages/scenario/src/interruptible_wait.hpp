#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace boragehollow::scenario {

/// Waits for `duration`; false when a stop was requested first.
inline bool wait_for(const std::stop_token& stop, std::chrono::milliseconds duration) {
    std::mutex mutex;
    std::condition_variable_any never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, stop, duration, [] { return false; });
    return !stop.stop_requested();
}

} // namespace boragehollow::scenario
