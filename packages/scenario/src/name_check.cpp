#include "name_check.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/scenario/mesh_layout.hpp"

#include <set>
#include <string>

namespace boragehollow::scenario {

namespace {

class name_checker {
public:
    std::vector<parse_fault> faults;

    void check(const statement& each) {
        m_line = each.line;
        const bool declares = std::holds_alternative<mesh_statement>(each.body) ||
                              std::holds_alternative<setting_statement>(each.body);
        if (!m_has_mesh && !declares) {
            fault("stands before 'mesh'");
            return;
        }
        std::visit(*this, each.body);
    }

    void operator()(const mesh_statement& mesh) {
        if (m_has_mesh) {
            fault("a scenario has one mesh");
            return;
        }
        m_has_mesh = true;
        if (mesh.daemons_per_domain == 0) {
            fault("a domain needs at least one daemon");
        }
        for (const std::string& domain : mesh.domains) {
            if (!m_groups.insert(domain).second) {
                fault("the domain '" + domain + "' stands twice");
            }
            for (std::size_t index = 1; index <= mesh.daemons_per_domain; ++index) {
                m_daemons.insert(daemon_name(domain, index));
            }
        }
    }

    void operator()(const setting_statement&) {
        if (m_has_mesh && m_started) {
            fault("stands after the first 'start'");
        }
    }

    void operator()(const start_statement& start) {
        m_started = true;
        processes(start.names);
    }

    void operator()(const signal_statement& signal) { processes(signal.names); }

    void operator()(const cut_statement& cut) {
        daemon_or_domain(cut.first, "daemon or domain");
        if (cut.second != "platform") {
            daemon_or_domain(cut.second, "daemon, domain or 'platform'");
        }
    }

    void operator()(const heal_statement&) {}
    void operator()(const platform_statement&) {}

    void operator()(const target_start_statement& target) {
        daemon(target.daemon);
        if (!m_targets.insert(target.name).second || m_daemons.contains(target.name)) {
            fault("the name '" + target.name + "' is taken");
        }
    }

    void operator()(const target_fault_statement& target_fault) { target(target_fault.name); }

    void operator()(const apply_statement& apply) {
        if (!apply.via.empty()) {
            daemon(apply.via);
        }
    }

    void operator()(const delete_statement& removal) {
        if (!removal.via.empty()) {
            daemon(removal.via);
        }
    }

    void operator()(const call_statement& call) {
        plan(call.plan);
        expected(call.expected);
        if (!call.background_name.empty() && !m_calls.insert(call.background_name).second) {
            fault("the call name '" + call.background_name + "' is taken");
        }
    }

    void operator()(const load_statement& load) {
        daemons_or_domains(load.via, "daemon or domain");
        if (!m_loads.insert(load.name).second) {
            fault("the load name '" + load.name + "' is taken");
        }
    }

    void operator()(const expect_statement& expect) { std::visit(*this, expect.what); }
    void operator()(const sleep_statement&) {}
    void operator()(const check_statement&) {}

    void operator()(const random_statement& random) {
        for (const statement& choice : random.choices) {
            std::visit(*this, choice.body);
        }
    }

    void operator()(const in_force_expectation& each) { daemons_or_domains(each.names, "daemon or domain"); }
    void operator()(const version_expectation& each) { daemon(each.name); }
    void operator()(const same_digest_expectation& each) {
        daemons_or_domains(each.names, "daemon or domain");
    }
    void operator()(const members_expectation& each) { daemons_or_domains(each.names, "daemon or domain"); }
    void operator()(const ready_expectation& each) { daemons_or_domains(each.names, "daemon or domain"); }
    void operator()(const event_expectation& each) { daemons_or_domains(each.names, "daemon or domain"); }
    void operator()(const exited_expectation& each) { processes(each.names); }
    void operator()(const ledger_expectation&) {}
    void operator()(const quiet_expectation& each) { target(each.target); }

    void operator()(const answered_expectation& each) {
        plan(each.plan);
        expected(each.expected);
    }

    void operator()(const background_expectation& each) {
        expected(each.expected);
        if (!m_calls.contains(each.name)) {
            fault("no call '" + each.name + "' stands before");
        }
    }

    void operator()(const load_expectation& each) {
        if (!m_loads.contains(each.name)) {
            fault("no load '" + each.name + "' stands before");
        }
    }

private:
    void fault(std::string message) { faults.push_back({m_line, std::move(message)}); }

    void daemon(const std::string& name) {
        if (name != "any" && !m_daemons.contains(name)) {
            fault("no daemon '" + name + "'");
        }
    }

    void target(const std::string& name) {
        if (!m_targets.contains(name)) {
            fault("no target '" + name + "' stands before");
        }
    }

    bool is_daemon_or_domain(const std::string& name) const {
        return name == "all" || name == "any" || m_daemons.contains(name) || m_groups.contains(name);
    }

    void daemon_or_domain(const std::string& name, const std::string& meaning) {
        if (!is_daemon_or_domain(name)) {
            fault("no " + meaning + " '" + name + "'");
        }
    }

    void daemons_or_domains(const name_list& names, const std::string& meaning) {
        for (const std::string& name : names) {
            daemon_or_domain(name, meaning);
        }
    }

    void processes(const name_list& names) {
        for (const std::string& name : names) {
            if (name == "platform" || m_targets.contains(name)) {
                continue;
            }
            daemon_or_domain(name, "daemon, domain or target");
        }
    }

    void plan(const call_plan& plan) { daemon_or_domain(plan.via, "daemon or domain"); }

    void expected(const call_expectation& expected) {
        if (!expected.target.empty()) {
            target(expected.target);
        }
    }

    std::size_t m_line = 0;
    bool m_has_mesh = false;
    bool m_started = false;
    std::set<std::string> m_daemons;
    std::set<std::string> m_groups;
    std::set<std::string> m_targets;
    std::set<std::string> m_calls;
    std::set<std::string> m_loads;
};

} // namespace

std::vector<parse_fault> check_names(const std::vector<statement>& statements) {
    name_checker checker;
    for (const statement& each : statements) {
        checker.check(each);
    }
    return std::move(checker.faults);
}

} // namespace boragehollow::scenario
