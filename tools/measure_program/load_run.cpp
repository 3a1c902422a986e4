#include "load_run.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;

/// Time after the last arrival for requests that are still under way.
constexpr milliseconds grace = 30s;

} // namespace

result<load_run> load_run::start(context& shared, const load_plan& plan) {
    const std::string name = "load-" + shared.random.identifier().substr(0, 8);
    const std::filesystem::path answers = shared.directory / (name + ".jsonl");
    std::vector<std::string> arguments{"--duration-ms", std::to_string(plan.duration.count()),
                                       "--seed",        std::to_string(shared.random.index(1'000'000)),
                                       "--answers",     answers.string(),
                                       "--grace-ms",    "2000"};
    for (const common::endpoint& server : plan.servers) {
        arguments.insert(arguments.end(), {"--to", common::to_string(server)});
    }
    arguments.insert(arguments.end(), plan.arguments.begin(), plan.arguments.end());
    auto process = scenario::child_process::start(shared.program("tools/load/boragehollow_load"), arguments,
                                                  shared.directory / (name + ".log"));
    if (!process) {
        return tl::unexpected(process.error());
    }
    return load_run(std::move(*process), answers, plan.duration + grace);
}

result<std::vector<load_answer>> load_run::finish() {
    const auto exit = m_process.wait_exit(m_limit);
    if (!exit || exit->status != 0) {
        return tl::unexpected("the load generator ended with " + (exit ? to_string(*exit) : "no status"));
    }
    std::vector<load_answer> answers;
    std::vector<std::int64_t> intended;
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    std::ifstream file(m_answers);
    for (std::string line; std::getline(file, line);) {
        const auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (!parsed.is_object()) {
            return tl::unexpected(std::string("the load generator wrote a line that is no JSON"));
        }
        load_answer answer;
        answer.kind = parsed.value("kind", "");
        answer.latency_ms = static_cast<double>(parsed.value("latency_us", std::int64_t{0})) / 1'000;
        answer.answered = parsed.value("outcome", "") == "answered" && parsed.value("status", 0) == 200;
        intended.push_back(parsed.value("intended_us", std::int64_t{0}));
        first = std::min(first, intended.back());
        answers.push_back(std::move(answer));
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        answers.at(i).intended_ms = static_cast<double>(intended.at(i) - first) / 1'000;
    }
    return answers;
}

result<std::vector<load_answer>> run_load(context& shared, const load_plan& plan) {
    auto running = load_run::start(shared, plan);
    if (!running) {
        return tl::unexpected(running.error());
    }
    return running->finish();
}

std::vector<double> answered_latencies(const std::vector<load_answer>& answers, const std::string& kind) {
    std::vector<double> latencies;
    for (const load_answer& answer : answers) {
        if (answer.answered && answer.kind == kind) {
            latencies.push_back(answer.latency_ms);
        }
    }
    return latencies;
}

} // namespace boragehollow::measure
