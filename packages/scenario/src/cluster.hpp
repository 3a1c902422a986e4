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

/// Where the programs are: one folder, or the folders of a CMake build.
struct program_paths {
    std::filesystem::path daemon;
    std::filesystem::path platform_log;
    std::filesystem::path target;
};

/// The processes of one scenario on loopback, their files and the faults between them.
class cluster {
public:
    cluster(program_paths programs, std::filesystem::path directory, const mesh_statement& mesh,
            std::map<std::string, std::string> settings);

    /// Asks all processes to end at once, so that they drain side by side.
    ~cluster();

    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    std::shared_ptr<const mesh_layout> layout() const { return m_layout; }

    step_result start(const std::string& name);
    step_result start_target(const target_start_statement& target);
    step_result signal(signal_kind kind, const std::string& name);
    step_result cut(const cut_statement& pair);
    step_result heal();

    /// Blocks the links that are cut on a daemon that has just started; fails until its listener answers.
    step_result restore_cuts(const std::string& name);
    step_result set_platform_fault(const platform_statement& fault);
    step_result set_target_fault(const target_fault_statement& fault);

    /// Daemons of a name that run and are not paused.
    std::vector<const daemon_place*> active(const std::string& name);
    bool runs(const std::string& name);

    /// Says which process ended although nothing told it to, and how; empty when none did.
    std::string unexpected_end();

    /// True from SIGTERM to the end of the process.
    bool stopping(const std::string& name) { return m_stopping.contains(name) && runs(name); }

    /// Reads the ledgers of the targets that run and adds those that were read before a target ended.
    std::vector<ledger> ledgers();
    const std::vector<departure>& departures() const { return m_departures; }
    std::vector<std::vector<telemetry::timeline_event>> timelines();

    /// All processes that a list of names stands for.
    std::vector<std::string> expand(const name_list& names) const;

private:
    struct target_place {
        target_start_statement statement;
        common::endpoint address;
    };

    /// Ledger that was read before its target was told to end.
    struct kept_ledger {
        pid_t process;
        ledger content;
    };

    step_result spawn(const std::string& name, const std::filesystem::path& program,
                      const std::vector<std::string>& arguments);
    step_result spawn_target(const target_place& target);
    step_result send_blocked(const daemon_place& daemon);
    void keep_records(const std::string& name);
    void depart(const std::string& target);
    void come_back(const std::string& target);
    std::vector<std::string> targets_of(const std::string& name) const;

    program_paths m_programs;
    std::filesystem::path m_directory;
    std::map<std::string, std::string> m_settings;
    free_ports m_ports;
    std::shared_ptr<const mesh_layout> m_layout;
    std::map<std::string, target_place> m_targets;
    std::map<std::string, child_process> m_processes;
    std::set<std::string> m_paused;
    std::set<std::string> m_stopping; ///< Processes that were told to end, until they are started again.
    std::vector<cut_statement> m_cuts;
    std::vector<kept_ledger> m_kept_ledgers;
    std::vector<std::vector<telemetry::timeline_event>> m_kept_timelines;
    std::vector<departure> m_departures;
};

} // namespace boragehollow::scenario
