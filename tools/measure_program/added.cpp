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

/// The mean rate of a daemon in the target size, and about ten times as much.
constexpr std::array<call_rate, 2> rates{{{44, 8s}, {400, 4s}}};

result<std::vector<double>> latencies(context& shared, const common::endpoint& server,
                                      const call_rate& rate) {
    // Few workers keep their connections in use, so that none is opened for a request.
    const load_plan plan{
        {server},
        shared.options.quick ? rate.duration / 3 : rate.duration,
        {"--rate", std::to_string(rate.per_second), "--short-path", "/ping", "--workers", "8"}};
    const auto answers = run_load(shared, plan);
    if (!answers) {
        return tl::unexpected(answers.error());
    }
    auto values = answered_latencies(*answers, "short");
    if (values.size() * 100 < answers->size() * 99) {
        return tl::unexpected("only " + std::to_string(values.size()) + " of " +
                              std::to_string(answers->size()) + " calls were answered");
    }
    return values;
}

} // namespace

result<void> run(const added_latency&, context& shared) {
    auto mesh = test_mesh::start(shared, {{1, 2}, {}, true});
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    const auto target = (*mesh)->start_target(shared, 1, {"ping", 12, 0ms});
    if (!target) {
        return tl::unexpected(target.error());
    }
    if (const auto applied = (*mesh)->apply(resources, 0, shared.random); !applied) {
        return tl::unexpected(applied.error());
    }
    std::this_thread::sleep_for(3s);
    const common::endpoint entrance = (*mesh)->place(0).callers;
    const common::endpoint own_host = (*mesh)->place(1).callers;
    for (std::size_t round = 0; round < shared.options.rounds; ++round) {
        for (const call_rate& rate : rates) {
            const std::string name = "added." + std::to_string(rate.per_second) + "/s";
            const auto direct = latencies(shared, *target, rate);
            const auto two_hops = latencies(shared, entrance, rate);
            const auto one_hop = latencies(shared, own_host, rate);
            if (!direct || !two_hops || !one_hop) {
                return tl::unexpected(!direct     ? direct.error()
                                      : !two_hops ? two_hops.error()
                                                  : one_hop.error());
            }
            for (const auto& [text, share] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
                const double base = percentile(*direct, share);
                const std::string latency = name + ".latency." + text;
                shared.figures.add(side::product, latency, "ms", percentile(*two_hops, share));
                shared.figures.add(side::baseline, latency, "ms", base);
                shared.figures.add(side::product, name + ".two_hops_add." + text, "ms",
                                   percentile(*two_hops, share) - base);
                shared.figures.add(side::product, name + ".own_host_adds." + text, "ms",
                                   percentile(*one_hop, share) - base);
            }
        }
    }
    return {};
}

} // namespace boragehollow::measure
