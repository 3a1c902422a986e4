#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/common/time.hpp"
#include "ledger.hpp"
#include "options.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <variant>

namespace boragehollow::standin {

using common::steady_time;
using std::chrono::milliseconds;

/// Load as it is announced to the daemon.
struct load_values {
    std::uint32_t in_use = 0;
    std::uint32_t queued = 0;
};

/// Faults that tests enable and disable while the target runs.
struct switches {
    double slow_factor = 1.0;
    milliseconds slow_for{0}; ///< 0: until it is disabled.
    bool shed = false;        ///< Sheds every request.
    bool silent = false;      ///< Sends no announcements.
    bool drain = false;
    std::uint32_t fail_next = 0;      ///< Number of requests that get the status 500.
    std::uint32_t die_next = 0;       ///< Number of connections that are aborted within the response body.
    bool exit_on_die = false;         ///< Ends the process instead of aborting the connection.
    milliseconds load_lag{0};         ///< Age of the reported load.
    std::optional<load_values> lie;   ///< Reported instead of the actual load.
    std::optional<std::string> state; ///< Reported instead of the actual state.
};

/// Why a request is not executed: load shedding, the state starting, or a deadline that passed in the queue.
enum class refusal_reason { shed, starting, late };

/// Permission to execute a request, with the faults that apply to it.
struct execution_grant {
    std::uint64_t number = 0;
    double slow_factor = 1.0;
    bool fail = false;
    bool die = false;
    bool exit_on_die = false;
};

using start_reply = std::variant<execution_grant, refusal_reason>;

/// State and load as they are reported to the daemon.
struct status_report {
    std::string state;
    load_values load;
    std::uint32_t slots = 0;
    bool silent = false;
    std::uint32_t running = 0; ///< Actual number of running requests, independent of the reported load.
};

/// Requests a slot; the reply is sent when the request can start or is refused.
struct start_request {
    ledger_entry entry;
    steady_time deadline;
    common::reply_slot<start_reply> reply;
};
/// Releases a slot.
struct end_request {
    std::uint64_t number = 0;
    run_state state = run_state::done;
    std::uint64_t received = 0;
};
struct switch_change {
    std::function<void(switches&)> apply;
    common::reply_slot<switches> reply;
};
struct status_query {
    common::reply_slot<status_report> reply;
};
struct ledger_query {
    common::reply_slot<ledger> reply;
};

using scheduler_message = std::variant<start_request, end_request, switch_change, status_query, ledger_query>;
using scheduler_ring = common::bounded_ring<scheduler_message>;

/// Owns the slots, the queue, the switches and the ledger of the target, and decides when each request
/// starts.
class request_scheduler {
public:
    request_scheduler(const target_options& options, steady_time now);

    void handle(scheduler_message message, steady_time now);
    void tick(steady_time now);
    steady_time next_wakeup(steady_time now) const;

private:
    void on(start_request message, steady_time now);
    void on(const end_request& message, steady_time now);
    void on(const switch_change& message, steady_time now);
    void on(const status_query& message, steady_time now);
    void on(const ledger_query& message, steady_time now);
    void start_queued(steady_time now);
    void start(start_request& message, steady_time now);
    std::string actual_state(steady_time now) const;
    load_values reported_load(steady_time now) const;
    void record_load(steady_time now);

    target_options m_options;
    steady_time m_started;
    switches m_switches;
    std::optional<steady_time> m_slow_until;
    std::uint32_t m_in_use = 0;
    std::deque<start_request> m_queue;
    std::uint64_t m_next_number = 0;
    ledger m_ledger;
    std::deque<std::pair<steady_time, load_values>> m_load_history;
};

/// Returns the loop of the duty that owns the scheduler, until the ring is closed.
std::function<void(std::stop_token)> scheduler_loop(const target_options& options, scheduler_ring& ring);

/// Sends a message to the scheduler and waits for its reply. Empty if there is none before `until`.
template <class Message, class Reply>
std::optional<Reply> ask(scheduler_ring& ring, Message message, const common::reply_slot<Reply>& reply,
                         steady_time until) {
    if (!ring.push_until(std::move(message), until)) {
        return std::nullopt;
    }
    return reply.wait_until(until);
}

} // namespace boragehollow::standin
