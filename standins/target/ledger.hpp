#pragma once

#include "boragehollow/common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragehollow::standin {

/// State of the execution of a request.
enum class run_state { running, done, aborted, expired, died };

/// One request that the target began to execute.
struct ledger_entry {
    std::uint64_t number = 0;
    std::string request_id;
    std::string call_id;
    std::string key; ///< Idempotency key.
    std::string method;
    std::string path;
    common::wall_time start;
    common::wall_time end;
    run_state state = run_state::running;
    std::uint64_t received = 0; ///< Bytes of the body.
};

/// Number of requests that were executed, by result, and of those that were not.
struct ledger_counts {
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t aborted = 0;
    std::uint64_t expired = 0;
    std::uint64_t died = 0;
    std::uint64_t shed = 0;           ///< Refused by the switch `shed`, or because the queue was full.
    std::uint64_t refused = 0;        ///< Refused in state `starting`.
    std::uint64_t late = 0;           ///< The deadline passed before a slot became free.
    std::uint64_t begun_draining = 0; ///< Executions that began during a drain.
};

/// Record of the requests that the target executed, which checkers compare with the results that callers
/// received.
class ledger {
public:
    explicit ledger(std::size_t capacity) : m_capacity(capacity) {}

    void begin(ledger_entry entry);
    void end(std::uint64_t number, run_state state, std::uint64_t received, common::wall_time now);

    const std::deque<ledger_entry>& entries() const { return m_entries; }
    ledger_counts& counts() { return m_counts; }
    const ledger_counts& counts() const { return m_counts; }

    /// Returns the request ids that were executed more than once, with their number of executions.
    std::vector<std::pair<std::string, std::uint32_t>> repeated() const;

private:
    std::size_t m_capacity;
    std::deque<ledger_entry> m_entries;                    ///< The newest entries, with consecutive numbers.
    std::unordered_map<std::string, std::uint32_t> m_runs; ///< Executions by request id.
    ledger_counts m_counts;
};

} // namespace boragehollow::standin
