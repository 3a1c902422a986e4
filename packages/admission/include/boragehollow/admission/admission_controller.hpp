#pragma once

#include "boragehollow/admission/adaptive_limit.hpp"
#include "boragehollow/admission/call_queue.hpp"
#include "boragehollow/admission/duplicate_table.hpp"
#include "boragehollow/admission/messages.hpp"
#include "boragehollow/admission/repeat_limit.hpp"
#include "boragehollow/admission/service_times.hpp"
#include "boragehollow/admission/shedding_monitor.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace boragehollow::admission {

struct admission_settings {
    milliseconds longest_deadline{600'000}; ///< Retention of the ids of started calls.
    /// Retention of idempotency keys after the call ended, in addition to the longest time left of a keyed
    /// call.
    milliseconds key_window{120'000};
    std::size_t max_call_ids = 262'144; ///< About 20 MB when full.
    std::size_t max_keys = 65'536;
    bool early_refusal = true; ///< Refuses a call at once when its expected wait outlasts its deadline.
    repeat_ratios repeats{};
    bool service_times_by_kind = false; ///< Each kind of call has a mean service time of its own.
};

/// Counters for metrics and for the load that replies piggyback to the caller's daemon.
struct admission_status {
    std::uint32_t slots = 0;
    std::uint32_t limit = 0; ///< Concurrency limit: the slots, lowered by the adaptive limit.
    std::uint32_t running_short = 0;
    std::uint32_t running_long = 0;
    std::uint32_t queued_short = 0;
    std::uint32_t queued_long = 0;
    microseconds mean_service_time{0}; ///< Of short calls; 0 until one has ended.
    std::size_t call_ids = 0;
    std::size_t keys = 0;
    std::uint64_t granted = 0;
    std::uint64_t reclassified = 0;
    std::array<std::uint64_t, 14> refused{}; ///< Indexed by `refusal_reason`.
};

/// Decides which calls the local target runs and when. Owned by a single thread; reads no clock and starts no
/// thread.
class admission_controller {
public:
    using effects = std::vector<effect>;

    explicit admission_controller(admission_settings settings);

    /// Grants, refuses or queues the call. A queued call is granted or refused by a later effect.
    effects submit(admission_request request, steady_time now);

    /// Frees the slot of a granted call. `latency` is measured from the grant.
    effects finish(admission_id id, microseconds latency, call_result result, steady_time now);

    /// The caller disconnected. A queued call is removed; a granted one counts as started and frees its slot.
    effects cancel(admission_id id, steady_time now);

    /// Sets the announced target, or none. Queued calls that the new target cannot run are refused; granted
    /// calls continue.
    effects update_target(std::optional<local_target> target, steady_time now);

    /// Sets the policy of the local target's service.
    effects update_policy(const config::admission_policy& policy, steady_time now);

    /// Starts the drain of the daemon: refuses all queued and all later calls.
    effects start_drain(steady_time now);

    /// Refuses expired calls, reclassifies overdue short calls and grants free slots.
    effects tick(steady_time now);

    /// Time at which `tick` must run next; empty when nothing is pending.
    std::optional<steady_time> next_wakeup() const;

    admission_status status() const;

    /// Share of the running calls that are repeated work: the probability that a call which the target makes
    /// now was made by repeated work.
    double repeated_share() const;

    /// True when the target sheds a considerable part of its calls.
    bool target_sheds() const { return m_shedding.sheds(); }

    /// True when no granted call is running, so that a stopping daemon may exit.
    bool idle() const { return m_running.empty(); }

private:
    struct running_call {
        std::string call_id;
        std::optional<std::string> key;
        bool idempotent = false;
        bool counts_as_long = false;
        double repeated = 0; ///< 1 for a retry; the inherited share for a first attempt.
        steady_time started;
        call_kind kind;
    };

    std::optional<refusal_reason> target_refusal(const std::string& service) const;
    std::optional<refusal_reason> duplicate_refusal(const admission_request& request, steady_time now);
    std::uint32_t capacity() const;
    std::uint32_t reserved_slots() const;
    std::uint32_t max_long_calls() const;
    bool may_run(config::work_class work) const;
    std::optional<config::work_class> next_work_class() const;
    microseconds own_service_time(const admission_request& request) const;
    microseconds expected_wait(const admission_request& request, steady_time now) const;
    bool refuse_excess_retry(const admission_request& request, steady_time now, effects& out);
    void start_call(admission_request request, steady_time now, effects& out);
    void refuse(const admission_request& request, refusal_reason reason, milliseconds retry_after,
                effects& out);
    void refuse_queued(const admission_request& request, refusal_reason reason, milliseconds retry_after,
                       effects& out);
    void release_ids(const admission_request& request);
    void retire_ids(const running_call& call, call_result result, steady_time now);
    void update_estimates(const running_call& call, microseconds latency, call_result result,
                          std::uint32_t in_use, steady_time now);
    void set_limit_bounds();
    void enqueue(admission_request request, steady_time now, effects& out);
    bool make_queue_room(const admission_request& request, steady_time now, effects& out);
    void refuse_expired(steady_time now, effects& out);
    void refuse_unrunnable(effects& out);
    void reclassify_overdue(steady_time now);
    void grant_waiting(steady_time now, effects& out);
    call_queue& queue_of(config::work_class work);
    const call_queue& queue_of(config::work_class work) const;

    admission_settings m_settings;
    config::admission_policy m_policy;
    std::optional<local_target> m_target;
    bool m_draining = false;
    adaptive_limit m_limit;
    call_queue m_short_queue;
    call_queue m_long_queue;
    repeat_limit m_repeats;
    shedding_monitor m_shedding;
    duplicate_table m_call_ids;
    duplicate_table m_keys;
    std::unordered_map<std::uint64_t, running_call> m_running;
    std::deque<std::pair<steady_time, std::uint64_t>> m_short_starts; ///< By start time.
    std::uint32_t m_running_short = 0;
    std::uint32_t m_running_long = 0;
    service_times m_service_times;
    admission_status m_counters;
};

} // namespace boragehollow::admission
