#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace boragehollow::telemetry {

/// Cells of a striped metric. Threads are assigned to the cells in turn.
inline constexpr std::size_t stripe_count = 16;

/// Index of the cell that the calling thread uses.
std::size_t thread_stripe();

struct latency_summary {
    std::uint64_t window_count = 0; ///< Values in the window that the quantiles describe.
    std::uint64_t total_count = 0;
    std::chrono::nanoseconds total{0};
    std::chrono::nanoseconds p50{0};
    std::chrono::nanoseconds p95{0};
    std::chrono::nanoseconds p99{0};
    std::chrono::nanoseconds p999{0};
    std::chrono::nanoseconds max{0};
};

/// Quantiles of recent latencies.
///
/// `record` appends to a buffer of the calling thread's stripe, under a lock that threads of other stripes
/// never take; every 64th value of a stripe moves the buffer into the shared accumulators. The two
/// accumulators are offset by half a window, and each is discarded after a whole window. The summary reads
/// the older one, so a value has left the summary after at most one window.
class latency_distribution {
public:
    explicit latency_distribution(std::chrono::seconds window = std::chrono::seconds(60));
    ~latency_distribution();

    latency_distribution(const latency_distribution&) = delete;
    latency_distribution& operator=(const latency_distribution&) = delete;

    void record(std::chrono::nanoseconds value, common::steady_time now);
    latency_summary summary(common::steady_time now);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace boragehollow::telemetry
