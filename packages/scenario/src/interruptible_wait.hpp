#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace boragehollow::scenario {

/// Waits for `duration`. Returns false if a stop was requested.
inline bool wait_for(const std::stop_token& stop, std::chrono::milliseconds duration) {
    std::mutex mutex;
    std::condition_variable_any condition;
    std::unique_lock lock(mutex);
    condition.wait_for(lock, stop, duration, [] { return false; });
    return !stop.stop_requested();
}

} // namespace boragehollow::scenario
