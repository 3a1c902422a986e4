#pragma once

#include "boragehollow/rollout/evidence.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragehollow::rollout {

struct coordinator_settings {
    double max_share = 0.1;         ///< Largest share of the calls that a bad version may receive.
    std::uint64_t share_slack = 50; ///< Calls beyond that share.
};

/// Target of the service in the view of the coordinator's daemon.
struct version_target {
    std::string host;
    std::string version;
    steady_time known_since;
    bool ready = false; ///< Takes calls; false when it drains or its host is dead.
    bool alive = false; ///< Its daemon is not known to be dead.
};

/// Why a version was rolled back.
enum class rollback_reason { none, bad_responses, deadline, old_targets_busy };

std::string_view to_string(rollback_reason reason);

/// Decides one order of a service from the reports of its targets: which share of the calls the new version
/// takes, and whether it stays. Reads no clock and sends nothing.
class coordinator {
public:
    /// `host` is the host of this daemon. `ordered` is when the order was written.
    coordinator(coordinator_settings settings, std::string host, const order& requested, steady_time ordered);

    /// Continues at the stage that another coordinator reached.
    void resume(const plan& known);
    void resume(const stage_record& recorded);

    void set_targets(std::vector<version_target> targets);
    /// Versions other than that of the order which take no calls.
    void set_withheld(std::set<std::string> versions);
    /// Another order waits, so that this one must be decided in half of its time.
    void set_order_waiting(bool waiting) { m_order_waiting = waiting; }
    void record_report(const report& received, steady_time now);
    /// The final status of the order stands in the store, whoever wrote it.
    void record_final_status(stage status);

    void tick(steady_time now);

    const plan& current() const { return m_plan; }
    /// The plan at `now`, as it is sent.
    plan plan_at(steady_time now) const;
    /// Changes whenever all daemons need the plan, not only the targets that report.
    std::uint64_t revision() const { return m_revision; }
    /// Final status that has to be recorded; empty while there is none or it is recorded.
    std::optional<stage> due_status() const;
    stage_record record_at(common::wall_time wall, steady_time now) const;
    rollback_reason reason() const { return m_reason; }
    std::uint64_t admitted_new() const;
    std::uint64_t bad_responses() const { return m_bad; }

private:
    /// Counts of one target over all processes of its daemon.
    struct target_counts {
        report last;
        std::uint64_t earlier_admitted = 0;
        counts_by_route earlier_routes;

        std::uint64_t admitted() const { return earlier_admitted + last.admitted; }
    };

    struct snapshot {
        steady_time time;
        std::map<std::string, counts_by_route> candidates; ///< By host.
        counts_by_route old;
    };

    bool is_new(const version_target& target) const { return target.version == m_plan.version; }
    bool takes_part(const version_target& target) const;
    std::size_t count_targets(bool new_version) const;
    std::uint64_t admitted_total() const;
    steady_time deadline() const { return m_ordered + m_plan.allowed; }
    steady_time decision_time() const;
    milliseconds warm_up() const;
    snapshot take_snapshot(steady_time now) const;
    void observe(steady_time now);
    void choose_canaries(steady_time now);
    void update_share(steady_time now);
    void hand_out_allowances();
    bool version_is_bad(const snapshot& latest, const snapshot& since);
    bool evidence_is_sufficient(const snapshot& latest) const;
    void ramp(steady_time now, const snapshot& latest);
    void complete(steady_time now);
    bool old_targets_idle() const;
    void enter(stage next, std::uint32_t step, std::uint32_t share_permille, steady_time now);
    void roll_back(rollback_reason reason, steady_time now);
    void changed(bool for_all);

    coordinator_settings m_settings;
    plan m_plan;
    steady_time m_ordered;
    steady_time m_entered; ///< Time at which the current step began.
    std::vector<version_target> m_targets;
    std::map<std::string, target_counts> m_counts;  ///< By host.
    std::map<std::string, std::uint64_t> m_granted; ///< Last allowance of each target that has had one.
    std::set<std::string> m_left_out;               ///< Bad targets of a version that is not bad.
    std::optional<snapshot> m_begin;                ///< When the first target of the version got calls.
    std::deque<snapshot> m_recent;
    snapshot m_step_begin;
    bool m_order_waiting = false;
    bool m_old_idle = false;
    bool m_status_recorded = false;
    rollback_reason m_reason = rollback_reason::none;
    std::uint64_t m_revision = 1;
    std::uint64_t m_bad = 0;
};

} // namespace boragehollow::rollout
