#include "cluster.hpp"

#include "control_api.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

step_result failed(std::string reason) {
    return tl::unexpected(std::move(reason));
}

constexpr std::string_view platform_name = "platform";

} // namespace

cluster::cluster(program_paths programs, std::filesystem::path directory, const mesh_statement& mesh,
                 std::map<std::string, std::string> settings)
    : m_programs(std::move(programs)), m_directory(std::move(directory)), m_settings(std::move(settings)),
      m_layout(std::make_shared<const mesh_layout>(make_layout(mesh, [this] { return m_ports.next(); }))) {}

cluster::~cluster() {
    for (const auto& [name, process] : m_processes) {
        process.send_signal(SIGTERM);
        process.send_signal(SIGCONT);
    }
}

std::string cluster::unexpected_exit() {
    for (auto& [name, process] : m_processes) {
        const auto ended = process.wait_exit(0ms);
        if (ended && !m_stopping.contains(name)) {
            return name + " ended unexpectedly: " + to_string(*ended);
        }
    }
    return "";
}

step_result cluster::spawn(const std::string& name, const std::filesystem::path& program,
                           const std::vector<std::string>& arguments) {
    if (is_running(name)) {
        return failed(name + " is already running");
    }
    auto process = child_process::start(program, arguments, m_directory / (name + ".log"));
    if (!process) {
        return failed(process.error());
    }
    m_processes.insert_or_assign(name, std::move(*process));
    m_stopping.erase(name);
    return {};
}

step_result cluster::start(const std::string& name) {
    if (name == platform_name) {
        return spawn(name, m_programs.platform_log, {"--listen", to_string(m_layout->platform)});
    }
    if (const auto target = m_targets.find(name); target != m_targets.end()) {
        record_return(name);
        return spawn_target(target->second);
    }
    const daemon_endpoints* daemon = m_layout->find(name);
    if (daemon == nullptr) {
        return failed("unknown process '" + name + "'");
    }
    const std::filesystem::path file = m_directory / (name + ".toml");
    if (!(std::ofstream(file) << render_settings(*m_layout, *daemon, m_settings))) {
        return failed("cannot write " + file.string());
    }
    for (const std::string& target : targets_of(name)) {
        record_return(target);
    }
    return spawn(name, m_programs.daemon, {"--settings", file.string()});
}

step_result cluster::start_target(const target_start_statement& target) {
    const started_target place{target, {"127.0.0.1", m_ports.next()}};
    m_targets.insert_or_assign(target.name, place);
    return spawn_target(place);
}

step_result cluster::spawn_target(const started_target& target) {
    const daemon_endpoints* daemon = m_layout->find(target.statement.daemon);
    if (daemon == nullptr) {
        return failed("unknown daemon '" + target.statement.daemon + "'");
    }
    std::vector<std::string> arguments{"--listen",   to_string(target.address),
                                       "--service",  target.statement.service,
                                       "--slots",    std::to_string(target.statement.slots),
                                       "--announce", to_string(daemon->target),
                                       "--name",     target.statement.name};
    for (const auto& [key, value] : target.statement.labels) {
        arguments.emplace_back("--label");
        arguments.push_back(key);
        arguments.back().append("=").append(value);
    }
    return spawn(target.statement.name, m_programs.target, arguments);
}

step_result cluster::signal(signal_kind kind, const std::string& name) {
    const auto process = m_processes.find(name);
    if (process == m_processes.end() || !process->second.running()) {
        return failed(name + " is not running");
    }
    switch (kind) {
    case signal_kind::stop:
        save_records(name);
        for (const std::string& target : targets_of(name)) {
            record_departure(target);
        }
        process->second.send_signal(SIGTERM);
        m_stopping.insert(name);
        return {};
    case signal_kind::kill:
        save_records(name);
        process->second.send_signal(SIGKILL);
        m_stopping.insert(name);
        m_paused.erase(name);
        return process->second.wait_exit(5s) ? step_result{} : failed(name + " did not end after SIGKILL");
    case signal_kind::pause:
        process->second.send_signal(SIGSTOP);
        m_paused.insert(name);
        if (m_targets.contains(name)) {
            record_departure(name);
        }
        return {};
    case signal_kind::resume:
        if (m_targets.contains(name)) {
            record_return(name);
        }
        m_paused.erase(name);
        process->second.send_signal(SIGCONT);
        return {};
    }
    return failed("unknown signal");
}

/// Reads the ledger or timeline of a process before it ends, since they are lost with the process.
void cluster::save_records(const std::string& name) {
    if (const auto target = m_targets.find(name); target != m_targets.end()) {
        saved_ledger saved{m_processes.at(name).id(), {name, {}, false}};
        if (auto entries = control_api::read_ledger(target->second.address)) {
            saved.content.entries = std::move(*entries);
        }
        m_saved_ledgers.push_back(std::move(saved));
        return;
    }
    if (const daemon_endpoints* daemon = m_layout->find(name)) {
        if (auto events = control_api::read_timeline(daemon->operators)) {
            m_saved_timelines.push_back(std::move(*events));
        }
    }
}

std::vector<std::string> cluster::targets_of(const std::string& name) const {
    std::vector<std::string> found;
    for (const auto& [target, place] : m_targets) {
        if (target == name || place.statement.daemon == name) {
            found.push_back(target);
        }
    }
    return found;
}

void cluster::record_departure(const std::string& target) {
    m_departures.push_back({target, common::wall_now(), {}});
}

void cluster::record_return(const std::string& target) {
    for (departure& each : m_departures) {
        if (each.target == target && !each.returned) {
            each.returned = common::wall_now();
        }
    }
}

step_result cluster::send_blocked_links(const daemon_endpoints& daemon) {
    const auto sent =
        control_api::block_links(daemon.operators, blocked_addresses(*m_layout, daemon, m_cuts));
    if (!sent) {
        return failed("cannot block links of " + daemon.name + ": " + sent.error());
    }
    return {};
}

step_result cluster::cut(const cut_statement& pair) {
    m_cuts.push_back(pair);
    for (const daemon_endpoints* daemon : active("all")) {
        if (blocked_addresses(*m_layout, *daemon, {pair}).empty()) {
            continue;
        }
        if (auto sent = send_blocked_links(*daemon); !sent) {
            return sent;
        }
    }
    return {};
}

step_result cluster::heal() {
    m_cuts.clear();
    for (const daemon_endpoints* daemon : active("all")) {
        if (auto sent = send_blocked_links(*daemon); !sent) {
            return sent;
        }
    }
    return {};
}

step_result cluster::reapply_cuts(const std::string& name) {
    const daemon_endpoints* daemon = m_layout->find(name);
    if (daemon == nullptr || m_cuts.empty()) {
        return {};
    }
    return send_blocked_links(*daemon);
}

step_result cluster::set_platform_fault(const platform_statement& fault) {
    return control_api::set_platform_fault(m_layout->platform, fault.mode, fault.delay);
}

step_result cluster::set_target_fault(const target_fault_statement& fault) {
    const auto target = m_targets.find(fault.name);
    if (target == m_targets.end()) {
        return failed("unknown target '" + fault.name + "'");
    }
    auto switched = control_api::set_target_fault(target->second.address, fault.mode, fault.delay);
    if (switched && fault.mode == "drain") {
        record_departure(fault.name);
    }
    if (switched && fault.mode == "restore") {
        record_return(fault.name);
    }
    return switched;
}

bool cluster::is_running(const std::string& name) {
    const auto process = m_processes.find(name);
    return process != m_processes.end() && process->second.running();
}

std::vector<const daemon_endpoints*> cluster::active(const std::string& name) {
    std::vector<const daemon_endpoints*> found;
    for (const daemon_endpoints* daemon : m_layout->select(name)) {
        if (is_running(daemon->name) && !m_paused.contains(daemon->name)) {
            found.push_back(daemon);
        }
    }
    return found;
}

std::vector<ledger> cluster::ledgers() {
    std::vector<ledger> found;
    std::set<pid_t> read_processes;
    for (const auto& [name, place] : m_targets) {
        if (!is_running(name)) {
            continue;
        }
        auto entries = control_api::read_ledger(place.address);
        if (!entries) {
            found.push_back({name, {}, false});
            continue;
        }
        read_processes.insert(m_processes.at(name).id());
        found.push_back({name, std::move(*entries), true});
    }
    for (const saved_ledger& saved : m_saved_ledgers) {
        // A target that was signalled may still be running, and its current ledger then includes the saved
        // one.
        if (!read_processes.contains(saved.process)) {
            found.push_back(saved.content);
        }
    }
    return found;
}

std::vector<std::vector<telemetry::timeline_event>> cluster::timelines() {
    auto found = m_saved_timelines;
    for (const daemon_endpoints* daemon : active("all")) {
        if (auto events = control_api::read_timeline(daemon->operators)) {
            found.push_back(std::move(*events));
        }
    }
    return found;
}

std::vector<std::string> cluster::expand(const name_list& names) const {
    std::vector<std::string> expanded;
    for (const std::string& name : names) {
        const auto daemons = m_layout->select(name);
        if (daemons.empty()) {
            expanded.push_back(name);
        }
        for (const daemon_endpoints* daemon : daemons) {
            expanded.push_back(daemon->name);
        }
    }
    return expanded;
}

} // namespace boragehollow::scenario
