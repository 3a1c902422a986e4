#pragma once

#include "boragehollow/scenario/child_process.hpp"
#include "boragehollow/scenario/mesh_layout.hpp"
#include "boragehollow/scenario/observations.hpp"
#include "boragehollow/scenario/statement.hpp"
#include "free_ports.hpp"

#include <tl/expected.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace boragehollow::scenario {

using step_result = tl::expected<void, std::string>;

/// Paths of the programs under test.
struct program_paths {
    std::filesystem::path daemon;
    std::filesystem::path platform_log;
    std::filesystem::path target;
};

/// Processes of one scenario on loopback, their settings and log files, and the faults injected between them.
class cluster {
public:
    cluster(program_paths programs, std::filesystem::path directory, const mesh_statement& mesh,
            std::map<std::string, std::string> settings);

    /// Signals all processes before waiting for any of them, so that they drain concurrently.
    ~cluster();

    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    std::shared_ptr<const mesh_layout> layout() const { return m_layout; }

    step_result start(const std::string& name);
    step_result start_target(const target_start_statement& target);
    step_result signal(signal_kind kind, const std::string& name);
    step_result cut(const cut_statement& pair);
    step_result heal();

    /// Blocks the links that are currently cut on a daemon that has just started. Fails until its operator
    /// listener responds.
    step_result reapply_cuts(const std::string& name);
    step_result set_platform_fault(const platform_statement& fault);
    step_result set_target_fault(const target_fault_statement& fault);

    /// Returns the daemons that `name` refers to and that are running and not paused.
    std::vector<const daemon_endpoints*> active(const std::string& name);
    bool is_running(const std::string& name);

    /// Describes a process that ended without being signalled; empty if there is none.
    std::string unexpected_exit();

    /// True from the signal that ends a process until it has exited.
    bool is_stopping(const std::string& name) { return m_stopping.contains(name) && is_running(name); }

    /// Returns the ledgers of the running targets, and those saved before a target ended.
    std::vector<ledger> ledgers();
    const std::vector<departure>& departures() const { return m_departures; }
    std::vector<std::vector<telemetry::timeline_event>> timelines();

    /// Returns all processes that a list of names refers to.
    std::vector<std::string> expand(const name_list& names) const;

private:
    struct started_target {
        target_start_statement statement;
        common::endpoint address;
    };

    /// Ledger that was read before its target was signalled to end.
    struct saved_ledger {
        pid_t process;
        ledger content;
    };

    step_result spawn(const std::string& name, const std::filesystem::path& program,
                      const std::vector<std::string>& arguments);
    step_result spawn_target(const started_target& target);
    step_result send_blocked_links(const daemon_endpoints& daemon);
    void save_records(const std::string& name);
    void record_departure(const std::string& target);
    void record_return(const std::string& target);
    std::vector<std::string> targets_of(const std::string& name) const;

    program_paths m_programs;
    std::filesystem::path m_directory;
    std::map<std::string, std::string> m_settings;
    free_ports m_ports;
    std::shared_ptr<const mesh_layout> m_layout;
    std::map<std::string, started_target> m_targets;
    std::map<std::string, child_process> m_processes;
    std::set<std::string> m_paused;
    std::set<std::string> m_stopping; ///< Processes that were signalled to end, until they are started again.
    std::vector<cut_statement> m_cuts;
    std::vector<saved_ledger> m_saved_ledgers;
    std::vector<std::vector<telemetry::timeline_event>> m_saved_timelines;
    std::vector<departure> m_departures;
};

} // namespace boragehollow::scenario
