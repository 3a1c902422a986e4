#pragma once

#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/resources/memory_budget.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace boragehollow::forwarding {

class memory_ledger;

/// The share of one message in the memory budget, from its first byte until the last copy of its bytes is
/// released. Used on the forwarder's thread only.
class memory_lease : public std::enable_shared_from_this<memory_lease> {
public:
    memory_lease(std::shared_ptr<memory_ledger> ledger, resources::holder_activity activity);
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    ~memory_lease();

    /// Makes the lease at least this large. Waits while the memory is taken; false if it does not become free
    /// in time, or the lease was evicted. Nothing may be received for the message during the wait.
    asio::awaitable<bool> acquire(std::size_t bytes);
    /// Like `acquire`, without the wait; empty when `acquire` has to be called.
    std::optional<bool> try_acquire(std::size_t bytes);
    void release_to(std::size_t bytes);

    void set_activity(resources::holder_activity activity);
    void record_progress(std::size_t bytes);

    /// Called when the message has to be ended, since its peer is stalled or slow and others wait.
    void on_eviction(std::function<void()> action) { m_on_eviction = std::move(action); }
    bool evicted() const { return m_evicted; }
    std::size_t bytes() const { return m_bytes; }

private:
    friend class memory_ledger;

    std::shared_ptr<memory_ledger> m_ledger;
    resources::holder_id m_id;
    std::size_t m_bytes = 0;
    std::size_t m_wanted_bytes = 0;
    asio::steady_timer* m_wait_timer = nullptr; ///< Set during a wait.
    std::optional<bool> m_granted;              ///< Result of the wait.
    bool m_evicted = false;
    std::function<void()> m_on_eviction;
};

using memory_lease_ptr = std::shared_ptr<memory_lease>;

/// Carries out the decisions of the memory budget of one daemon.
class memory_ledger : public std::enable_shared_from_this<memory_ledger> {
public:
    memory_ledger(const resources::memory_budget_settings& settings, const telemetry::event_log& events,
                  telemetry::metric_registry& metrics);

    memory_lease_ptr open(resources::holder_activity activity);

    /// Wakes no further coroutines: the event loop has ended.
    void stop() { m_stopped = true; }

private:
    friend class memory_lease;

    void apply(const resources::memory_budget::effects& effects);
    void handle(const resources::memory_granted& granted);
    void handle(const resources::memory_refused& refused);
    void handle(const resources::holder_evicted& evicted);
    void finish_wait(resources::holder_id id, bool granted);
    void tick();
    void report_pressure();

    resources::memory_budget m_budget;
    const telemetry::event_log& m_events;
    std::unordered_map<std::uint64_t, memory_lease*> m_leases;
    common::steady_time m_last_tick;
    common::steady_time m_last_report; ///< Of the event about memory.
    std::uint64_t m_ended_since_report = 0;
    bool m_stopped = false;
    telemetry::gauge& m_leased_bytes;
    telemetry::counter& m_waits;
    telemetry::counter& m_refusals;
    telemetry::counter& m_evictions;
};

} // namespace boragehollow::forwarding
