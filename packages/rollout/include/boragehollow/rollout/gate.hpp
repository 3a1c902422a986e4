#pragma once

#include "boragehollow/rollout/evidence.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace boragehollow::rollout {

/// How a call ended, as far as it says something about the version.
enum class call_outcome {
    answered,
    failed,
    not_run,
    inconclusive, ///< Ran, and its caller left before the response.
};

/// Decides beside a target whether it takes calls, and counts what they come to. Without a plan of the
/// target's service every call is admitted and nothing is counted.
class gate {
public:
    explicit gate(std::uint64_t process) : m_process(process) {}

    /// Time without a confirmed plan after which a target of the new version takes no calls. It bounds the
    /// calls of a daemon that does not hear of a bad verdict.
    void set_max_unconfirmed(milliseconds time) { m_max_unconfirmed = time; }

    /// A restarted target or another version begins without counts.
    void set_target(std::string service, std::string version, std::string host);
    /// Applies a plan of the target's service. `confirmed` when it came from another daemon or from the
    /// coordinator just now.
    void set_plan(const plan& current, steady_time now);
    void remove_plan(const std::string& service);

    /// Takes a call; false when the target's version is not in use. Each admitted call is ended once.
    bool admit(steady_time now);
    /// Whether `admit` would take a call.
    bool open(steady_time now) const;
    void finish(const std::string& route, call_outcome outcome, std::chrono::microseconds latency);

    std::optional<report> make_report() const;

private:
    bool mostly_bad() const;

    std::uint64_t m_process;
    std::string m_service;
    std::string m_version;
    std::string m_host;
    milliseconds m_max_unconfirmed{1'500};
    std::optional<plan> m_plan;
    steady_time m_confirmed{};
    std::uint64_t m_admitted = 0;
    std::uint64_t m_running = 0;    ///< Counted without a plan, too.
    std::uint32_t m_recent_bad = 0; ///< Failures among the last responses, one bit each.
    std::uint32_t m_recent = 0;
    std::optional<steady_time> m_paused_until; ///< Set when most of the last responses were failures.
    counts_by_route m_routes;
};

} // namespace boragehollow::rollout
