#include "load_run.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;

/// Time allowed after the last arrival for outstanding requests to complete.
constexpr milliseconds finish_grace = 30s;

} // namespace

result<load_run> load_run::start(measurement_context& context, const load_plan& plan) {
    const std::string name = "load-" + context.random.identifier().substr(0, 8);
    const std::filesystem::path records = context.directory / (name + ".jsonl");
    std::vector<std::string> arguments{"--duration-ms", std::to_string(plan.duration.count()),
                                       "--seed",        std::to_string(context.random.index(1'000'000)),
                                       "--answers",     records.string(),
                                       "--grace-ms",    "2000"};
    for (const common::endpoint& server : plan.servers) {
        arguments.insert(arguments.end(), {"--to", common::to_string(server)});
    }
    arguments.insert(arguments.end(), plan.arguments.begin(), plan.arguments.end());
    auto process = scenario::child_process::start(context.program("tools/load/boragehollow_load"), arguments,
                                                  context.directory / (name + ".log"));
    if (!process) {
        return tl::unexpected(process.error());
    }
    return load_run(std::move(*process), records, plan.duration + finish_grace);
}

result<std::vector<request_record>> load_run::finish() {
    const auto exit = m_process.wait_exit(m_timeout);
    if (!exit || exit->status != 0) {
        return tl::unexpected("the load generator exited with " + (exit ? to_string(*exit) : "no status"));
    }
    std::vector<request_record> records;
    std::vector<std::int64_t> intended;
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    std::ifstream file(m_results_file);
    for (std::string line; std::getline(file, line);) {
        const auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (!parsed.is_object()) {
            return tl::unexpected(std::string("the load generator wrote a line that is not a JSON object"));
        }
        request_record record;
        record.kind = parsed.value("kind", "");
        record.latency_ms = static_cast<double>(parsed.value("latency_us", std::int64_t{0})) / 1'000;
        record.answered = parsed.value("outcome", "") == "answered" && parsed.value("status", 0) == 200;
        intended.push_back(parsed.value("intended_us", std::int64_t{0}));
        first = std::min(first, intended.back());
        records.push_back(std::move(record));
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        records.at(i).intended_ms = static_cast<double>(intended.at(i) - first) / 1'000;
    }
    return records;
}

result<std::vector<request_record>> run_load(measurement_context& context, const load_plan& plan) {
    auto running = load_run::start(context, plan);
    if (!running) {
        return tl::unexpected(running.error());
    }
    return running->finish();
}

std::vector<double> answered_latencies(const std::vector<request_record>& records, const std::string& kind) {
    std::vector<double> latencies;
    for (const request_record& record : records) {
        if (record.answered && record.kind == kind) {
            latencies.push_back(record.latency_ms);
        }
    }
    return latencies;
}

} // namespace boragehollow::measure
