#pragma once

#include "test_mesh.hpp"

#include <vector>

namespace boragehollow::measure {

/// Open-loop load: requests arrive regardless of whether earlier ones have completed.
struct load_plan {
    std::vector<common::endpoint> servers;
    milliseconds duration{0};
    std::vector<std::string> arguments; ///< Additional options of the load generator.
};

/// A line of the load generator's output.
struct request_record {
    std::string kind;
    double intended_ms = 0; ///< Relative to the first intended time of the run.
    double latency_ms = 0;  ///< From the intended time to the end of the response.
    bool answered = false;  ///< A target answered with status 200.
};

/// A running load generator.
class load_run {
public:
    static result<load_run> start(measurement_context& context, const load_plan& plan);

    /// Waits for the process to exit and reads its records.
    result<std::vector<request_record>> finish();

private:
    load_run(scenario::child_process process, std::filesystem::path results_file, milliseconds timeout)
        : m_process(std::move(process)), m_results_file(std::move(results_file)), m_timeout(timeout) {}

    scenario::child_process m_process;
    std::filesystem::path m_results_file;
    milliseconds m_timeout;
};

result<std::vector<request_record>> run_load(measurement_context& context, const load_plan& plan);

/// Latencies of the answered requests of a kind, in milliseconds.
std::vector<double> answered_latencies(const std::vector<request_record>& records, const std::string& kind);

} // namespace boragehollow::measure
