#pragma once

#include "test_mesh.hpp"

#include <vector>

namespace boragehollow::measure {

/// Requests that arrive whether or not earlier ones were answered.
struct load_plan {
    std::vector<common::endpoint> servers;
    milliseconds duration{0};
    std::vector<std::string> arguments; ///< Further options of the load generator.
};

struct load_answer {
    std::string kind;
    double intended_ms = 0; ///< Since the first intended time.
    double latency_ms = 0;  ///< Since the intended time.
    bool answered = false;
};

/// A load generator that runs.
class load_run {
public:
    static result<load_run> start(context& shared, const load_plan& plan);

    /// Waits for its end and reads the answers.
    result<std::vector<load_answer>> finish();

private:
    load_run(scenario::child_process process, std::filesystem::path answers, milliseconds limit)
        : m_process(std::move(process)), m_answers(std::move(answers)), m_limit(limit) {}

    scenario::child_process m_process;
    std::filesystem::path m_answers;
    milliseconds m_limit;
};

result<std::vector<load_answer>> run_load(context& shared, const load_plan& plan);

/// Latencies of the requests of a kind that a target answered.
std::vector<double> answered_latencies(const std::vector<load_answer>& answers, const std::string& kind);

} // namespace boragehollow::measure
