#include "boragehollow/scenario/runner.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/scenario/checker.hpp"
#include "call_desk.hpp"
#include "caller.hpp"
#include "cluster.hpp"
#include "control_api.hpp"
#include "expectation_check.hpp"
#include "interruptible_wait.hpp"
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
constexpr std::chrono::milliseconds start_limit = 30s;

/// Time in which an append whose outcome is unknown is repeated under its id.
constexpr std::chrono::milliseconds change_limit = 11s;

/// Longest wait for the answers of background work before the promises are checked.
constexpr std::chrono::milliseconds settle_limit = 60s;

constexpr std::chrono::milliseconds final_status_timeout = 10s;

/// Longest pause between two faults of one `random` statement, so that they meet in different states.
constexpr std::chrono::microseconds random_gap = 500ms;

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
            // A process that has just crashed takes a moment to end.
            wait_for(m_stop, poll_interval * 10);
        }
        const std::string ended = m_cluster ? m_cluster->unexpected_end() : std::string();
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
                    poll(start_limit, [&] { return m_cluster->stopping(name) ? name + " stops" : ""; });
                !ended) {
                return ended;
            }
            // `start all` starts those that do not run.
            if (!named && m_cluster->runs(name)) {
                continue;
            }
            if (auto started = m_cluster->start(name); !started) {
                return started;
            }
        }
        for (const std::string& name : names) {
            if (auto restored = poll(start_limit, [&] { return reason_of(m_cluster->restore_cuts(name)); });
                !restored) {
                return restored;
            }
        }
        if (!start.wait_until_ready) {
            return {};
        }
        return poll(start_limit, [&] { return unready(names); });
    }

    step_result operator()(const signal_statement& signal) {
        for (const std::string& name : m_cluster->expand(chosen(signal.names))) {
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
        const auto entrance = choose_entrance(call.plan.via);
        if (!entrance) {
            return failed("no daemon of '" + call.plan.via + "' runs");
        }
        const std::string id = m_random.identifier();
        if (!call.background_name.empty()) {
            m_desk->send(call.background_name, call.plan, *entrance, id);
            return {};
        }
        call_answer answer = perform_call(call.plan, entrance->address, id, m_stop);
        answer.via = entrance->daemon;
        std::string reason = difference(answer, call.expected);
        const std::string work = "call " + id;
        m_recorder.work_issued(work, 1);
        m_recorder.add_answer(work, std::move(answer));
        return reason.empty() ? step_result{} : failed("via " + entrance->daemon + ": " + reason);
    }

    step_result operator()(const load_statement& load) {
        std::vector<call_entrance> entrances;
        for (const std::string& name : load.via) {
            for (const daemon_place* daemon : m_cluster->active(name == "any" ? "all" : name)) {
                entrances.push_back({daemon->name, daemon->callers});
            }
        }
        if (entrances.empty()) {
            return failed("no daemon runs that could take the load");
        }
        m_desk->run_load(load, std::move(entrances), m_random.index(~std::size_t{0}));
        return {};
    }

    step_result operator()(const expect_statement& expect) {
        expectation_check check(*m_cluster, m_recorder, m_random, m_latest_version, m_stop);
        const auto look = [&] { return check.unmet(expect.what); };
        return expect.throughout ? hold(expect.duration, look) : poll(expect.duration, look);
    }

    step_result operator()(const sleep_statement& sleep) {
        const auto extra = m_random.jitter(sleep.most - sleep.least + 1ms);
        wait_for(m_stop, sleep.least + std::chrono::duration_cast<milliseconds>(extra));
        return {};
    }

    step_result operator()(const check_statement&) {
        const auto settled = poll(settle_limit, [&]() -> std::string {
            const auto unfinished = m_recorder.unfinished_works();
            return unfinished.empty() ? "" : "'" + unfinished.front() + "' has no answer";
        });
        if (!settled) {
            return settled;
        }
        observations seen = m_recorder.collected();
        // The digests, which the sampler does not read.
        for (const daemon_place* daemon : m_cluster->active("all")) {
            if (auto sample =
                    control_api::read_status(daemon->name, daemon->operators, final_status_timeout)) {
                seen.samples.push_back(std::move(*sample));
            }
        }
        seen.ledgers = m_cluster->ledgers();
        seen.departures = m_cluster->departures();
        seen.timeline = telemetry::merge_timelines(m_cluster->timelines());
        report(seen);
        std::string reasons;
        for (const violation& each : check_promises(seen)) {
            reasons += "\n  " + each.guarantee + ": " + each.detail;
        }
        return reasons.empty() ? step_result{} : failed("promises were broken:" + reasons);
    }

    step_result operator()(const random_statement& random) {
        std::vector<statement> left = random.choices;
        for (std::size_t index = 0; index < random.count; ++index) {
            const std::size_t drawn = m_random.index(left.size());
            if (index > 0) {
                wait_for(m_stop, std::chrono::duration_cast<milliseconds>(m_random.jitter(random_gap)));
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
        m_desk.emplace(m_recorder);
        m_sampler.emplace(m_cluster->layout(), m_recorder);
    }

    /// Looks again and again until the reason is empty, at most for `limit`.
    template <class Look>
    step_result poll(milliseconds limit, const Look& look) {
        const auto deadline = steady_clock::now() + limit;
        while (true) {
            std::string reason = look();
            if (reason.empty()) {
                return {};
            }
            if (steady_clock::now() >= deadline) {
                return failed(reason + " after " + std::to_string(limit.count()) + " ms");
            }
            if (!wait_for(m_stop, poll_interval)) {
                return failed("interrupted");
            }
        }
    }

    template <class Look>
    step_result hold(milliseconds duration, const Look& look) {
        const auto end = steady_clock::now() + duration;
        do {
            std::string reason = look();
            if (!reason.empty()) {
                return failed(std::move(reason));
            }
            if (!wait_for(m_stop, poll_interval)) {
                return failed("interrupted");
            }
        } while (steady_clock::now() < end);
        return {};
    }

    static std::string reason_of(const step_result& result) {
        return result ? std::string() : result.error();
    }

    std::string unready(const std::vector<std::string>& names) {
        for (const std::string& name : names) {
            if (!m_cluster->runs(name)) {
                return name + " has ended; see " + (m_options.directory / (name + ".log")).string();
            }
            const daemon_place* daemon = m_cluster->layout()->find(name);
            if (daemon != nullptr && !control_api::healthy(daemon->operators, 1s)) {
                return name + " is not ready";
            }
        }
        return "";
    }

    /// Replaces `any` by one running daemon.
    name_list chosen(name_list names) {
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

    std::optional<call_entrance> choose_entrance(const std::string& via) {
        const auto daemons = m_cluster->active(via.empty() || via == "any" ? "all" : via);
        if (daemons.empty()) {
            return std::nullopt;
        }
        const daemon_place& daemon = *daemons[m_random.index(daemons.size())];
        return call_entrance{daemon.name, daemon.callers};
    }

    step_result send_change(const std::string& change, const std::string& via, change_result expected) {
        const auto deadline = steady_clock::now() + change_limit;
        for (bool repeated = false;; repeated = true) {
            const auto entrance = choose_entrance(via);
            if (!entrance) {
                return failed("no daemon runs that could take the change");
            }
            const daemon_place* daemon = m_cluster->layout()->find(entrance->daemon);
            auto answer = control_api::post_change(daemon->operators, change);
            if (answer && answer->duplicate && repeated) {
                // An earlier append took effect although its answer was lost.
                answer->accepted = true;
            }
            const bool known = answer && answer->outcome_known;
            if (known || expected == change_result::any || steady_clock::now() >= deadline) {
                return judge_change(answer, expected);
            }
            if (!wait_for(m_stop, poll_interval)) {
                return failed("interrupted");
            }
        }
    }

    step_result judge_change(const control_api::result<control_api::change_answer>& answer,
                             change_result expected) {
        if (answer && answer->accepted) {
            m_latest_version = std::max(m_latest_version, answer->version);
        }
        if (expected == change_result::any) {
            return {};
        }
        if (!answer) {
            return failed("the change got no answer: " + answer.error());
        }
        const bool wanted = expected == change_result::accepted;
        if (!answer->outcome_known || answer->accepted != wanted) {
            return failed(std::string("expected the change to be ") + (wanted ? "accepted" : "rejected") +
                          ", got " + answer->text);
        }
        return {};
    }

    void report(const observations& seen) {
        std::size_t runs = 0;
        for (const ledger& each : seen.ledgers) {
            runs += each.entries.size();
        }
        m_output << "  " << seen.answers.size() << " answers, " << runs << " runs in " << seen.ledgers.size()
                 << " ledgers, " << seen.samples.size() << " samples, " << seen.timeline.size() << " events"
                 << std::endl;
    }

    const runner_options& m_options;
    std::ostream& m_output;
    std::stop_token m_stop;
    common::random_source m_random;
    mesh_statement m_mesh;
    std::map<std::string, std::string> m_settings;
    std::uint64_t m_latest_version = 0;
    // The order matters: callers and sampler end before the recorder, and the processes last of all.
    std::optional<cluster> m_cluster;
    recorder m_recorder;
    std::optional<call_desk> m_desk;
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
