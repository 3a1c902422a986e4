#include "load_run.hpp"
#include "measurements.hpp"

#include <array>
#include <thread>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;

constexpr const char* resources = R"({"resources": [
  {"kind": "service_policy", "name": "ping"},
  {"kind": "route", "name": "ping", "path_prefix": "/ping", "service": "ping", "idempotent": true}]})";

struct call_rate {
    int per_second;
    milliseconds duration;
};

/// The mean call rate of a daemon in a mesh of the intended size, and about ten times that rate.
constexpr std::array<call_rate, 2> rates{{{44, 8s}, {400, 4s}}};

result<std::vector<double>> latencies(measurement_context& context, const common::endpoint& server,
                                      const call_rate& rate) {
    // With few workers, connections are reused before they idle out, so that requests do not open new ones.
    const load_plan plan{
        {server},
        context.options.quick ? rate.duration / 3 : rate.duration,
        {"--rate", std::to_string(rate.per_second), "--short-path", "/ping", "--workers", "8"}};
    const auto records = run_load(context, plan);
    if (!records) {
        return tl::unexpected(records.error());
    }
    auto values = answered_latencies(*records, "short");
    if (values.size() * 100 < records->size() * 99) {
        return tl::unexpected("only " + std::to_string(values.size()) + " of " +
                              std::to_string(records->size()) + " calls were answered");
    }
    return values;
}

} // namespace

result<void> run(const added_latency&, measurement_context& context) {
    auto mesh = test_mesh::start(context, {{1, 2}, {}, true});
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    const auto target = (*mesh)->start_target(context, 1, {"ping", 12, 0ms});
    if (!target) {
        return tl::unexpected(target.error());
    }
    if (const auto applied = (*mesh)->apply(resources, 0, context.random); !applied) {
        return tl::unexpected(applied.error());
    }
    std::this_thread::sleep_for(3s);
    const common::endpoint entry_daemon = (*mesh)->endpoints(0).callers;
    const common::endpoint target_daemon = (*mesh)->endpoints(1).callers;
    for (std::size_t round = 0; round < context.options.rounds; ++round) {
        for (const call_rate& rate : rates) {
            const std::string name = "added." + std::to_string(rate.per_second) + "/s";
            const auto direct = latencies(context, *target, rate);
            const auto two_hops = latencies(context, entry_daemon, rate);
            const auto one_hop = latencies(context, target_daemon, rate);
            if (!direct || !two_hops || !one_hop) {
                return tl::unexpected(!direct     ? direct.error()
                                      : !two_hops ? two_hops.error()
                                                  : one_hop.error());
            }
            for (const auto& [text, share] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
                const double base = percentile(*direct, share);
                const std::string latency = name + ".latency." + text;
                context.figures.add(measured_system::product, latency, "ms", percentile(*two_hops, share));
                context.figures.add(measured_system::baseline, latency, "ms", base);
                context.figures.add(measured_system::product, name + ".two_hops_add." + text, "ms",
                                    percentile(*two_hops, share) - base);
                context.figures.add(measured_system::product, name + ".own_host_adds." + text, "ms",
                                    percentile(*one_hop, share) - base);
            }
        }
    }
    return {};
}

} // namespace boragehollow::measure
