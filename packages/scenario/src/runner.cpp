#include "boragehollow/scenario/runner.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/scenario/checker.hpp"
#include "caller.hpp"
#include "cluster.hpp"
#include "control_api.hpp"
#include "expectation_check.hpp"
#include "interruptible_wait.hpp"
#include "load_generator.hpp"
#include "recorder.hpp"
#include "sampler.hpp"
#include "timeline_text.hpp"

#include <algorithm>
#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>
#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;
using common::steady_clock;

constexpr std::chrono::milliseconds poll_interval = 50ms;
constexpr std::chrono::milliseconds start_timeout = 30s;

/// Time during which a change with an unknown outcome is retried under its id.
constexpr std::chrono::milliseconds change_timeout = 11s;

/// Limit on the wait for background calls to end before the guarantees are checked.
constexpr std::chrono::milliseconds settle_timeout = 60s;

constexpr std::chrono::milliseconds final_status_timeout = 10s;

/// Maximum delay between two faults of a `random` statement, so that they hit the mesh in different states.
constexpr std::chrono::microseconds max_random_delay = 500ms;

step_result failed(std::string reason) {
    return tl::unexpected(std::move(reason));
}

class scenario_runner {
public:
    scenario_runner(const runner_options& options, std::ostream& output, std::stop_token stop)
        : m_options(options), m_output(output), m_stop(std::move(stop)), m_random(options.seed) {}

    step_result run(const statement& each) {
        if (m_stop.stop_requested()) {
            return failed("interrupted");
        }
        m_output << "line " << each.line << ": " << each.text << std::endl;
        step_result done = std::visit(*this, each.body);
        if (!done) {
            // If a crash caused the failure, the process may not have ended yet.
            wait_for(m_stop, poll_interval * 10);
        }
        const std::string ended = m_cluster ? m_cluster->unexpected_exit() : std::string();
        if (ended.empty()) {
            return done;
        }
        return failed(done ? ended : ended + "; " + done.error());
    }

    std::string timeline() {
        return m_cluster ? render_timeline(telemetry::merge_timelines(m_cluster->timelines()))
                         : std::string();
    }

    step_result operator()(const mesh_statement& mesh) {
        m_mesh = mesh;
        return {};
    }

    step_result operator()(const setting_statement& setting) {
        m_settings[setting.key] = setting.value;
        return {};
    }

    step_result operator()(const start_statement& start) {
        build_cluster();
        const auto names = m_cluster->expand(start.names);
        for (const std::string& name : names) {
            const bool named = std::find(start.names.begin(), start.names.end(), name) != start.names.end();
            if (auto ended =
                    poll(start_timeout,
                         [&] { return m_cluster->is_stopping(name) ? name + " is still stopping" : ""; });
                !ended) {
                return ended;
            }
            // `start all` skips the daemons that are running.
            if (!named && m_cluster->is_running(name)) {
                continue;
            }
            if (auto started = m_cluster->start(name); !started) {
                return started;
            }
        }
        for (const std::string& name : names) {
            if (auto restored =
                    poll(start_timeout, [&] { return error_text(m_cluster->reapply_cuts(name)); });
                !restored) {
                return restored;
            }
        }
        if (!start.wait_until_ready) {
            return {};
        }
        return poll(start_timeout, [&] { return not_ready_reason(names); });
    }

    step_result operator()(const signal_statement& signal) {
        for (const std::string& name : m_cluster->expand(resolve_any(signal.names))) {
            if (auto sent = m_cluster->signal(signal.kind, name); !sent) {
                return sent;
            }
        }
        return {};
    }

    step_result operator()(const cut_statement& cut) { return m_cluster->cut(cut); }
    step_result operator()(const heal_statement&) { return m_cluster->heal(); }
    step_result operator()(const platform_statement& fault) { return m_cluster->set_platform_fault(fault); }

    step_result operator()(const target_start_statement& target) {
        build_cluster();
        return m_cluster->start_target(target);
    }

    step_result operator()(const target_fault_statement& fault) { return m_cluster->set_target_fault(fault); }

    step_result operator()(const apply_statement& apply) {
        std::string document = apply.json;
        if (!apply.file.empty()) {
            std::ifstream file(m_options.scenario_folder / apply.file);
            std::ostringstream text;
            if (!file || !(text << file.rdbuf())) {
                return failed("cannot read " + apply.file);
            }
            document = text.str();
        }
        const auto change = control_api::change_from_document(document, m_random.identifier());
        if (!change) {
            return failed(change.error());
        }
        return send_change(*change, apply.via, apply.expected);
    }

    step_result operator()(const delete_statement& removal) {
        return send_change(
            control_api::change_that_deletes(removal.kind, removal.name, m_random.identifier()), removal.via,
            removal.expected);
    }

    step_result operator()(const call_statement& call) {
        const auto entry_point = choose_entry_point(call.plan.via);
        if (!entry_point) {
            return failed("no daemon of '" + call.plan.via + "' is running");
        }
        const std::string id = m_random.identifier();
        if (!call.background_name.empty()) {
            m_load_generator->send(call.background_name, call.plan, *entry_point, id);
            return {};
        }
        call_result result = perform_call(call.plan, entry_point->address, id, m_stop);
        result.via = entry_point->daemon;
        std::string reason = difference(result, call.expected);
        const std::string workload = "call " + id;
        m_recorder.workload_issued(workload, 1);
        m_recorder.add_result(workload, std::move(result));
        return reason.empty() ? step_result{} : failed("via " + entry_point->daemon + ": " + reason);
    }

    step_result operator()(const load_statement& load) {
        std::vector<call_entry_point> entry_points;
        for (const std::string& name : load.via) {
            for (const daemon_endpoints* daemon : m_cluster->active(name == "any" ? "all" : name)) {
                entry_points.push_back({daemon->name, daemon->callers});
            }
        }
        if (entry_points.empty()) {
            return failed("no running daemon can take the load");
        }
        m_load_generator->run_load(load, std::move(entry_points), m_random.index(~std::size_t{0}));
        return {};
    }

    step_result operator()(const expect_statement& expect) {
        expectation_check check(*m_cluster, m_recorder, m_random, m_latest_version, m_stop);
        const auto probe = [&] { return check.unmet_reason(expect.what); };
        return expect.throughout ? poll_throughout(expect.duration, probe) : poll(expect.duration, probe);
    }

    step_result operator()(const sleep_statement& sleep) {
        const auto extra = m_random.jitter(sleep.max_duration - sleep.min_duration + 1ms);
        wait_for(m_stop, sleep.min_duration + std::chrono::duration_cast<milliseconds>(extra));
        return {};
    }

    step_result operator()(const check_statement&) {
        const auto settled = poll(settle_timeout, [&]() -> std::string {
            const auto unfinished = m_recorder.unfinished_workloads();
            return unfinished.empty() ? "" : "'" + unfinished.front() + "' has not finished";
        });
        if (!settled) {
            return settled;
        }
        observations observed = m_recorder.collected();
        // A final sample of every daemon, so that the digests of the final versions are compared.
        for (const daemon_endpoints* daemon : m_cluster->active("all")) {
            if (auto sample =
                    control_api::read_status(daemon->name, daemon->operators, final_status_timeout)) {
                observed.samples.push_back(std::move(*sample));
            }
        }
        observed.ledgers = m_cluster->ledgers();
        observed.departures = m_cluster->departures();
        observed.timeline = telemetry::merge_timelines(m_cluster->timelines());
        report(observed);
        std::string reasons;
        for (const violation& each : check_guarantees(observed)) {
            reasons += "\n  " + each.guarantee + ": " + each.detail;
        }
        return reasons.empty() ? step_result{} : failed("guarantees were violated:" + reasons);
    }

    step_result operator()(const random_statement& random) {
        std::vector<statement> left = random.choices;
        for (std::size_t index = 0; index < random.count; ++index) {
            const std::size_t drawn = m_random.index(left.size());
            if (index > 0) {
                wait_for(m_stop, std::chrono::duration_cast<milliseconds>(m_random.jitter(max_random_delay)));
            }
            if (auto done = run(left[drawn]); !done) {
                return done;
            }
            left.erase(left.begin() + static_cast<std::ptrdiff_t>(drawn));
        }
        return {};
    }

private:
    void build_cluster() {
        if (m_cluster) {
            return;
        }
        m_cluster.emplace(
            program_paths{m_options.daemon_program, m_options.platform_log_program, m_options.target_program},
            m_options.directory, m_mesh, m_settings);
        m_load_generator.emplace(m_recorder);
        m_sampler.emplace(m_cluster->layout(), m_recorder);
    }

    /// Repeats the probe until it returns an empty reason, or fails after `timeout`.
    template <class Probe>
    step_result poll(milliseconds timeout, const Probe& probe) {
        const auto deadline = steady_clock::now() + timeout;
        while (true) {
            std::string reason = probe();
            if (reason.empty()) {
                return {};
            }
            if (steady_clock::now() >= deadline) {
                return failed(reason + " after " + std::to_string(timeout.count()) + " ms");
            }
            if (!wait_for(m_stop, poll_interval)) {
                return failed("interrupted");
            }
        }
    }

    /// Repeats the probe for `duration` and fails as soon as it returns a reason.
    template <class Probe>
    step_result poll_throughout(milliseconds duration, const Probe& probe) {
        const auto end = steady_clock::now() + duration;
        do {
            std::string reason = probe();
            if (!reason.empty()) {
                return failed(std::move(reason));
            }
            if (!wait_for(m_stop, poll_interval)) {
                return failed("interrupted");
            }
        } while (steady_clock::now() < end);
        return {};
    }

    static std::string error_text(const step_result& result) {
        return result ? std::string() : result.error();
    }

    std::string not_ready_reason(const std::vector<std::string>& names) {
        for (const std::string& name : names) {
            if (!m_cluster->is_running(name)) {
                return name + " has exited; see " + (m_options.directory / (name + ".log")).string();
            }
            const daemon_endpoints* daemon = m_cluster->layout()->find(name);
            if (daemon != nullptr && !control_api::healthy(daemon->operators, 1s)) {
                return name + " is not ready";
            }
        }
        return "";
    }

    /// Replaces `any` by the name of a random running daemon.
    name_list resolve_any(name_list names) {
        for (std::string& name : names) {
            if (name != "any") {
                continue;
            }
            const auto daemons = m_cluster->active("all");
            if (!daemons.empty()) {
                name = daemons[m_random.index(daemons.size())]->name;
            }
        }
        return names;
    }

    std::optional<call_entry_point> choose_entry_point(const std::string& via) {
        const auto daemons = m_cluster->active(via.empty() || via == "any" ? "all" : via);
        if (daemons.empty()) {
            return std::nullopt;
        }
        const daemon_endpoints& daemon = *daemons[m_random.index(daemons.size())];
        return call_entry_point{daemon.name, daemon.callers};
    }

    step_result send_change(const std::string& change, const std::string& via, change_result expected) {
        const auto deadline = steady_clock::now() + change_timeout;
        for (bool repeated = false;; repeated = true) {
            const auto entry_point = choose_entry_point(via);
            if (!entry_point) {
                return failed("no running daemon can take the change");
            }
            const daemon_endpoints* daemon = m_cluster->layout()->find(entry_point->daemon);
            auto response = control_api::post_change(daemon->operators, change);
            if (response && response->duplicate && repeated) {
                // An earlier attempt was accepted although its response was lost.
                response->accepted = true;
            }
            const bool known = response && response->outcome_known;
            if (known || expected == change_result::any || steady_clock::now() >= deadline) {
                return evaluate_change(response, expected);
            }
            if (!wait_for(m_stop, poll_interval)) {
                return failed("interrupted");
            }
        }
    }

    step_result evaluate_change(const control_api::result<control_api::change_response>& response,
                                change_result expected) {
        if (response && response->accepted) {
            m_latest_version = std::max(m_latest_version, response->version);
        }
        if (expected == change_result::any) {
            return {};
        }
        if (!response) {
            return failed("the change got no response: " + response.error());
        }
        const bool wanted = expected == change_result::accepted;
        if (!response->outcome_known || response->accepted != wanted) {
            return failed(std::string("expected the change to be ") + (wanted ? "accepted" : "rejected") +
                          ", got " + response->text);
        }
        return {};
    }

    void report(const observations& observed) {
        std::size_t runs = 0;
        for (const ledger& each : observed.ledgers) {
            runs += each.entries.size();
        }
        m_output << "  " << observed.results.size() << " results, " << runs << " runs in "
                 << observed.ledgers.size() << " ledgers, " << observed.samples.size() << " samples, "
                 << observed.timeline.size() << " events" << std::endl;
    }

    const runner_options& m_options;
    std::ostream& m_output;
    std::stop_token m_stop;
    common::random_source m_random;
    mesh_statement m_mesh;
    std::map<std::string, std::string> m_settings;
    std::uint64_t m_latest_version = 0;
    // The order matters: load generator and sampler are destroyed before the recorder, and the processes
    // last.
    std::optional<cluster> m_cluster;
    recorder m_recorder;
    std::optional<load_generator> m_load_generator;
    std::optional<sampler> m_sampler;
};

} // namespace

tl::expected<void, scenario_failure> run_scenario(const std::vector<statement>& statements,
                                                  const runner_options& options, std::ostream& output,
                                                  const std::stop_token& stop) {
    scenario_runner runner(options, output, stop);
    for (const statement& each : statements) {
        if (auto done = runner.run(each); !done) {
            return tl::unexpected(scenario_failure{each, done.error(), runner.timeline()});
        }
    }
    return {};
}

} // namespace boragehollow::scenario
