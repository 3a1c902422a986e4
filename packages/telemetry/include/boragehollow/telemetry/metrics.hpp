#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/telemetry/latency_distribution.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace boragehollow::telemetry {

/// Label names and values of one series, fixed when it is registered.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Counter that many threads increment: each thread adds to one of 16 cells on separate cache lines, with a
/// relaxed atomic and no lock; reading sums the cells.
class counter {
public:
    void add(std::uint64_t amount = 1) {
        m_cells[thread_stripe()].value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const;

private:
    struct alignas(64) cell {
        std::atomic<std::uint64_t> value{0};
    };
    std::array<cell, stripe_count> m_cells;
};

class gauge {
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// All metrics of one process. Registration takes a lock and returns a reference that stays valid for the
/// lifetime of the registry; the same name and labels return the same object. Registering them again as
/// another type is a programming error and throws `std::bad_variant_access`, which ends the process.
class metric_registry {
public:
    metric_registry() = default;
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;

    counter& add_counter(const std::string& name, const std::string& help, metric_labels labels = {});
    gauge& add_gauge(const std::string& name, const std::string& help, metric_labels labels = {});
    latency_distribution& add_latency(const std::string& name, const std::string& help,
                                      metric_labels labels = {});

    /// Registers a gauge whose value is computed when the metrics are rendered.
    void add_computed_gauge(const std::string& name, const std::string& help, metric_labels labels,
                            std::function<double()> compute);

    /// Registers the depth, capacity, highest depth and dropped messages of a ring as gauges with the label
    /// `ring`.
    void add_ring(const std::string& ring_name, std::function<common::ring_stats()> stats);

    /// All metrics in the Prometheus text format 0.0.4.
    std::string render(common::steady_time now) const;

private:
    using computed_gauge = std::function<double()>;
    using instrument = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                                    std::unique_ptr<latency_distribution>, computed_gauge>;
    struct series {
        metric_labels labels;
        instrument value;
    };
    struct family {
        std::string name;
        std::string help;
        std::vector<std::unique_ptr<series>> members;
    };

    series& find_or_add(const std::string& name, const std::string& help, metric_labels labels,
                        const std::function<instrument()>& make);

    mutable std::mutex m_mutex;
    std::vector<family> m_families;
};

} // namespace boragehollow::telemetry
