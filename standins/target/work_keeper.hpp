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

struct load_figures {
    std::uint32_t in_use = 0;
    std::uint32_t queued = 0;
};

/// Faults that tests switch on and off while the target runs.
struct switches {
    double slow_factor = 1.0;
    milliseconds slow_for{0}; ///< 0: until it is switched off.
    bool shed = false;        ///< Sheds every request.
    bool silent = false;      ///< Stops announcing itself.
    bool drain = false;
    std::uint32_t fail_next = 0;      ///< Answers so many requests with 500.
    std::uint32_t die_next = 0;       ///< Breaks so many connections in the middle of the response body.
    bool exit_on_die = false;         ///< Ends the process instead of the connection.
    milliseconds load_lag{0};         ///< Age of the load that is reported.
    std::optional<load_figures> lie;  ///< Reported instead of the true load.
    std::optional<std::string> state; ///< Reported instead of the true state.
};

enum class entry_refusal { shed, starting, late };

/// How one request is to be run.
struct entry_grant {
    std::uint64_t number = 0;
    double slow_factor = 1.0;
    bool fail = false;
    bool die = false;
    bool exit_on_die = false;
};

using entry_reply = std::variant<entry_grant, entry_refusal>;

struct report {
    std::string state;
    load_figures load;
    std::uint32_t slots = 0;
    bool silent = false;
    std::uint32_t running = 0; ///< The truth, whatever is reported.
};

struct enter_work {
    ledger_entry entry;
    steady_time deadline;
    common::reply_slot<entry_reply> reply;
};
struct leave_work {
    std::uint64_t number = 0;
    run_state state = run_state::done;
    std::uint64_t received = 0;
};
struct change_switches {
    std::function<void(switches&)> apply;
    common::reply_slot<switches> reply;
};
struct read_report {
    common::reply_slot<report> reply;
};
struct read_ledger {
    common::reply_slot<ledger> reply;
};

using keeper_message = std::variant<enter_work, leave_work, change_switches, read_report, read_ledger>;
using keeper_ring = common::bounded_ring<keeper_message>;

/// Owns the slots, the queue, the switches and the ledger of the target.
class work_keeper {
public:
    work_keeper(const target_options& options, steady_time now);

    void handle(keeper_message message, steady_time now);
    void tick(steady_time now);
    steady_time next_wakeup(steady_time now) const;

private:
    void on(enter_work message, steady_time now);
    void on(const leave_work& message, steady_time now);
    void on(const change_switches& message, steady_time now);
    void on(const read_report& message, steady_time now);
    void on(const read_ledger& message, steady_time now);
    void start_waiting(steady_time now);
    void start(enter_work& message, steady_time now);
    std::string true_state(steady_time now) const;
    load_figures reported_load(steady_time now) const;
    void remember_load(steady_time now);

    target_options m_options;
    steady_time m_started;
    switches m_switches;
    std::optional<steady_time> m_slow_until;
    std::uint32_t m_in_use = 0;
    std::deque<enter_work> m_queue;
    std::uint64_t m_next_number = 0;
    ledger m_ledger;
    std::deque<std::pair<steady_time, load_figures>> m_history;
};

/// Loop of the duty that owns the keeper, until the ring is closed.
std::function<void(std::stop_token)> keeper_loop(const target_options& options, keeper_ring& ring);

/// Asks the keeper and waits for its answer; empty after `wait`.
template <class Message, class Reply>
std::optional<Reply> ask(keeper_ring& ring, Message message, const common::reply_slot<Reply>& reply,
                         steady_time until) {
    if (!ring.push_until(std::move(message), until)) {
        return std::nullopt;
    }
    return reply.wait_until(until);
}

} // namespace boragehollow::standin
