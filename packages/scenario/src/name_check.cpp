#include "name_check.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/scenario/mesh_layout.hpp"

#include <set>
#include <string>

namespace boragehollow::scenario {

namespace {

class name_checker {
public:
    std::vector<parse_error> errors;

    void check(const statement& each) {
        m_line = each.line;
        const bool declares = std::holds_alternative<mesh_statement>(each.body) ||
                              std::holds_alternative<setting_statement>(each.body);
        if (!m_has_mesh && !declares) {
            report("must follow the 'mesh' statement");
            return;
        }
        std::visit(*this, each.body);
    }

    void operator()(const mesh_statement& mesh) {
        if (m_has_mesh) {
            report("a scenario declares only one mesh");
            return;
        }
        m_has_mesh = true;
        if (mesh.daemons_per_domain == 0) {
            report("a domain needs at least one daemon");
        }
        for (const std::string& domain : mesh.domains) {
            if (!m_groups.insert(domain).second) {
                report("the domain '" + domain + "' is listed twice");
            }
            for (std::size_t index = 1; index <= mesh.daemons_per_domain; ++index) {
                m_daemons.insert(daemon_name(domain, index));
            }
        }
    }

    void operator()(const setting_statement&) {
        if (m_has_mesh && m_started) {
            report("must precede the first 'start' statement");
        }
    }

    void operator()(const start_statement& start) {
        m_started = true;
        check_processes(start.names);
    }

    void operator()(const signal_statement& signal) { check_processes(signal.names); }

    void operator()(const cut_statement& cut) {
        check_daemon_or_domain(cut.first, "daemon or domain");
        if (cut.second != "platform") {
            check_daemon_or_domain(cut.second, "daemon, domain or 'platform'");
        }
    }

    void operator()(const heal_statement&) {}
    void operator()(const platform_statement&) {}

    void operator()(const target_start_statement& target) {
        check_daemon(target.daemon);
        if (!m_targets.insert(target.name).second || m_daemons.contains(target.name)) {
            report("the name '" + target.name + "' is already in use");
        }
    }

    void operator()(const target_fault_statement& target_fault) { check_target(target_fault.name); }

    void operator()(const apply_statement& apply) {
        if (!apply.via.empty()) {
            check_daemon(apply.via);
        }
    }

    void operator()(const delete_statement& removal) {
        if (!removal.via.empty()) {
            check_daemon(removal.via);
        }
    }

    void operator()(const call_statement& call) {
        check_plan(call.plan);
        check_expectation(call.expected);
        if (!call.background_name.empty() && !m_calls.insert(call.background_name).second) {
            report("the call name '" + call.background_name + "' is already in use");
        }
    }

    void operator()(const load_statement& load) {
        check_daemons_or_domains(load.via, "daemon or domain");
        if (!m_loads.insert(load.name).second) {
            report("the load name '" + load.name + "' is already in use");
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

    void operator()(const in_force_expectation& each) {
        check_daemons_or_domains(each.names, "daemon or domain");
    }
    void operator()(const version_expectation& each) { check_daemon(each.name); }
    void operator()(const same_digest_expectation& each) {
        check_daemons_or_domains(each.names, "daemon or domain");
    }
    void operator()(const members_expectation& each) {
        check_daemons_or_domains(each.names, "daemon or domain");
    }
    void operator()(const ready_expectation& each) {
        check_daemons_or_domains(each.names, "daemon or domain");
    }
    void operator()(const event_expectation& each) {
        check_daemons_or_domains(each.names, "daemon or domain");
    }
    void operator()(const exited_expectation& each) { check_processes(each.names); }
    void operator()(const ledger_expectation&) {}
    void operator()(const quiet_expectation& each) { check_target(each.target); }

    void operator()(const answered_expectation& each) {
        check_plan(each.plan);
        check_expectation(each.expected);
    }

    void operator()(const background_expectation& each) {
        check_expectation(each.expected);
        if (!m_calls.contains(each.name)) {
            report("no earlier statement declares the call '" + each.name + "'");
        }
    }

    void operator()(const load_expectation& each) {
        if (!m_loads.contains(each.name)) {
            report("no earlier statement declares the load '" + each.name + "'");
        }
    }

private:
    void report(std::string message) { errors.push_back({m_line, std::move(message)}); }

    void check_daemon(const std::string& name) {
        if (name != "any" && !m_daemons.contains(name)) {
            report("unknown daemon '" + name + "'");
        }
    }

    void check_target(const std::string& name) {
        if (!m_targets.contains(name)) {
            report("no earlier statement declares the target '" + name + "'");
        }
    }

    bool is_daemon_or_domain(const std::string& name) const {
        return name == "all" || name == "any" || m_daemons.contains(name) || m_groups.contains(name);
    }

    void check_daemon_or_domain(const std::string& name, const std::string& meaning) {
        if (!is_daemon_or_domain(name)) {
            report("unknown " + meaning + " '" + name + "'");
        }
    }

    void check_daemons_or_domains(const name_list& names, const std::string& meaning) {
        for (const std::string& name : names) {
            check_daemon_or_domain(name, meaning);
        }
    }

    void check_processes(const name_list& names) {
        for (const std::string& name : names) {
            if (name == "platform" || m_targets.contains(name)) {
                continue;
            }
            check_daemon_or_domain(name, "daemon, domain or target");
        }
    }

    void check_plan(const call_plan& plan) { check_daemon_or_domain(plan.via, "daemon or domain"); }

    void check_expectation(const call_expectation& expected) {
        if (!expected.target.empty()) {
            check_target(expected.target);
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

std::vector<parse_error> check_names(const std::vector<statement>& statements) {
    name_checker checker;
    for (const statement& each : statements) {
        checker.check(each);
    }
    return std::move(checker.errors);
}

} // namespace boragehollow::scenario
