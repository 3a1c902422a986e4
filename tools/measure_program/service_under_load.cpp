#include "boragehollow/common/duty.hpp"
#include "boragehollow/web/http_client.hpp"
#include "load_run.hpp"
#include "measurements.hpp"
#include "svg_chart.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <thread>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;

/// A mesh with a target at each daemon, and the addresses at which the daemons accept callers.
struct served_mesh {
    std::unique_ptr<test_mesh> mesh;
    std::vector<common::endpoint> targets;
    std::vector<common::endpoint> caller_endpoints;
};

struct service_plan {
    std::size_t targets = 10;
    std::size_t slots = 6;
    milliseconds work{0};
    std::string resources;
    bool shared_fifo = false;
};

result<served_mesh> start_service(measurement_context& context, const service_plan& plan) {
    mesh_plan settings{{1, plan.targets}, {{"limits.caller_threads", "160"}}, true};
    if (plan.shared_fifo) {
        settings.settings["baseline.admission"] = "\"off_shared_fifo\"";
    }
    auto mesh = test_mesh::start(context, settings);
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    served_mesh served{std::move(*mesh), {}, {}};
    for (std::size_t daemon = 0; daemon < plan.targets; ++daemon) {
        const auto target = served.mesh->start_target(context, daemon, {"desk", plan.slots, plan.work});
        if (!target) {
            return tl::unexpected(target.error());
        }
        served.targets.push_back(*target);
        served.caller_endpoints.push_back(served.mesh->endpoints(daemon).callers);
    }
    const auto version = served.mesh->apply(plan.resources, 0, context.random);
    if (!version) {
        return tl::unexpected(version.error());
    }
    if (auto reached = served.mesh->wait_until_applied(*version, 30s); !reached) {
        return tl::unexpected(reached.error());
    }
    // Target announcements reach all daemons with the next gossip rounds and the table synchronisation.
    std::this_thread::sleep_for(12s);
    return served;
}

std::string service_resources(const std::string& balancing, const std::string& deadline, bool hedging) {
    std::string policy = R"({"kind": "service_policy", "name": "desk", "balancing": {"kind": ")" + balancing +
                         R"("}, "admission": {"queue_max_wait": "2s"})";
    if (hedging) {
        policy += R"(, "hedging": {"enabled": true, "min_delay": "20ms", "budget_ratio": 0.05})";
    }
    return R"({"resources": [)" + policy + R"(},
      {"kind": "route", "name": "short", "path_prefix": "/short", "service": "desk", "deadline": ")" +
           deadline + R"(", "idempotent": true},
      {"kind": "route", "name": "upload", "path_prefix": "/upload", "service": "desk", "deadline": "20s",
       "work": "long"}]})";
}

constexpr std::array<measured_system, 2> both_systems{measured_system::product, measured_system::baseline};

// Overload: the measurement named "crest".

constexpr milliseconds overload_step = 2s;
constexpr double overload_deadline_ms = 300;
constexpr std::array<double, 5> overload_levels{0.5, 1, 2, 4, 0.5};
/// Requests per second: targets * slots / service time in seconds.
constexpr double overload_capacity = 10 * 6 / 0.1;

std::string overload_name(std::size_t step) {
    constexpr std::array<const char*, 5> names{"0.5x", "1x", "2x", "4x", "0.5x_after"};
    return std::string("crest.") + names.at(step);
}

struct overload_step_result {
    double in_deadline_share = 0; ///< Share of the requests that were answered within the deadline.
    double useful_work = 0;       ///< Requests answered within the deadline, as a share of the capacity.
};

std::array<overload_step_result, 5> evaluate_overload(const std::vector<request_record>& records,
                                                      milliseconds step_length) {
    std::array<double, 5> arrived{};
    std::array<double, 5> in_time{};
    for (const request_record& record : records) {
        const auto step =
            static_cast<std::size_t>(record.intended_ms / static_cast<double>(step_length.count()));
        if (step >= arrived.size()) {
            continue;
        }
        arrived.at(step) += 1;
        in_time.at(step) += record.answered && record.latency_ms <= overload_deadline_ms ? 1 : 0;
    }
    std::array<overload_step_result, 5> results{};
    const double seconds = std::chrono::duration<double>(step_length).count();
    for (std::size_t step = 0; step < results.size(); ++step) {
        results.at(step) = {arrived.at(step) > 0 ? in_time.at(step) / arrived.at(step) : 0,
                            in_time.at(step) / seconds / overload_capacity};
    }
    return results;
}

/// Opens a connection for each request, since an idle one would occupy one of the daemon's caller threads.
load_plan overload_plan(const served_mesh& served, milliseconds step_length) {
    load_plan plan{served.caller_endpoints,
                   step_length * overload_levels.size(),
                   {"--rate", std::to_string(overload_levels.at(0) * overload_capacity), "--short-path",
                    "/short", "--deadline-ms", std::to_string(static_cast<int>(overload_deadline_ms)),
                    "--workers", "1000", "--fresh-connections", "--timeout-ms", "5000", "--callers", "50"}};
    for (std::size_t step = 1; step < overload_levels.size(); ++step) {
        const auto at = step_length * step;
        plan.arguments.insert(plan.arguments.end(),
                              {"--step", std::to_string(at.count()) + ":" +
                                             std::to_string(overload_levels.at(step) * overload_capacity)});
    }
    return plan;
}

void write_overload_chart(const measurement_context& context) {
    if (context.options.svg_folder.empty()) {
        return;
    }
    chart drawing{"Requests answered within their deadline", "load, times the capacity", "share", {}};
    for (const measured_system system : both_systems) {
        chart_series series{system == measured_system::product ? "product" : "baseline", {}};
        for (std::size_t step = 0; step + 1 < overload_levels.size(); ++step) {
            const auto values = context.figures.values(system, overload_name(step) + ".in_deadline");
            series.points.emplace_back(overload_levels.at(step), median(values));
        }
        drawing.series.push_back(std::move(series));
    }
    write_svg(drawing, context.options.svg_folder / "crest.svg");
}

// Slowed targets.

/// Every two seconds, makes `count` targets ten times slower for one second; they report zero load meanwhile.
std::unique_ptr<common::duty> slow_targets(std::vector<common::endpoint> targets, std::size_t count,
                                           std::uint64_t seed) {
    return std::make_unique<common::duty>("slower", [targets = std::move(targets), count,
                                                     seed](const std::stop_token& stop) {
        common::random_source random(seed);
        auto next = common::steady_clock::now();
        while (!stop.stop_requested()) {
            const std::size_t first = random.index(targets.size());
            for (std::size_t i = 0; i < count; ++i) {
                (void)web::fetch(
                    targets.at((first + i * 3) % targets.size()), "POST", "/switches",
                    {{"Content-Type", "application/json"}},
                    R"({"slow_factor": 10, "slow_for_ms": 1000, "lie": {"in_use": 0, "queued": 0}})", 500ms);
            }
            next += 2s;
            std::this_thread::sleep_until(next);
        }
    });
}

// Head-of-line blocking.

load_plan short_and_uploads(const served_mesh& served, milliseconds duration, double short_rate,
                            double upload_rate) {
    return {served.caller_endpoints,
            duration,
            {"--rate",
             std::to_string(short_rate + upload_rate),
             "--short",
             std::to_string(short_rate),
             "--upload",
             std::to_string(upload_rate),
             "--short-path",
             "/short",
             "--short-work-ms",
             "50",
             "--upload-path",
             "/upload",
             "--upload-bytes",
             "1000000",
             "--workers",
             "300",
             "--fresh-connections",
             "--timeout-ms",
             "20000",
             "--callers",
             "50"}};
}

struct upload_round {
    double p99 = 0;
    double answered_share = 0;
    double uploads_answered = 0;
};

result<upload_round> measure_short_requests(measurement_context& context, const load_plan& plan) {
    const auto records = run_load(context, plan);
    if (!records) {
        return tl::unexpected(records.error());
    }
    double short_count = 0;
    for (const request_record& record : *records) {
        short_count += record.kind == "short" ? 1 : 0;
    }
    const auto latencies = answered_latencies(*records, "short");
    const double seconds = std::chrono::duration<double>(plan.duration).count();
    return upload_round{percentile(latencies, 0.99),
                        short_count > 0 ? static_cast<double>(latencies.size()) / short_count : 0,
                        static_cast<double>(answered_latencies(*records, "upload").size()) / seconds};
}

/// Starts a mesh with the product and one with the baseline.
result<std::array<served_mesh, 2>> start_both(measurement_context& context, const service_plan& product,
                                              const service_plan& baseline) {
    auto first = start_service(context, product);
    if (!first) {
        return tl::unexpected(first.error());
    }
    auto second = start_service(context, baseline);
    if (!second) {
        return tl::unexpected(second.error());
    }
    return std::array<served_mesh, 2>{std::move(*first), std::move(*second)};
}

} // namespace

result<void> run(const overload&, measurement_context& context) {
    const milliseconds step_length = context.options.quick ? overload_step / 2 : overload_step;
    auto meshes = start_both(context, {10, 6, 100ms, service_resources("peak_ewma", "300ms", false), false},
                             {10, 6, 100ms, service_resources("random_choice", "300ms", false), true});
    if (!meshes) {
        return tl::unexpected(meshes.error());
    }
    for (std::size_t round = 0; round < context.options.rounds; ++round) {
        for (const measured_system system : both_systems) {
            const auto records =
                run_load(context, overload_plan(meshes->at(static_cast<std::size_t>(system)), step_length));
            if (!records) {
                return tl::unexpected(records.error());
            }
            const auto results = evaluate_overload(*records, step_length);
            for (std::size_t step = 0; step < results.size(); ++step) {
                context.figures.add(system, overload_name(step) + ".in_deadline", "share",
                                    results.at(step).in_deadline_share);
                context.figures.add(system, overload_name(step) + ".useful_work", "of capacity",
                                    results.at(step).useful_work);
            }
        }
    }
    write_overload_chart(context);
    return {};
}

result<void> run(const slowed_targets&, measurement_context& context) {
    const milliseconds duration = context.options.quick ? 4s : 5s;
    auto meshes = start_both(context, {10, 6, 50ms, service_resources("peak_ewma", "5s", true), false},
                             {10, 6, 50ms, service_resources("round_robin", "5s", false), false});
    if (!meshes) {
        return tl::unexpected(meshes.error());
    }
    for (std::size_t round = 0; round < context.options.rounds; ++round) {
        for (const std::size_t slow : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
            const std::uint64_t seed = context.random.index(1'000'000);
            for (const measured_system system : both_systems) {
                const served_mesh& served = meshes->at(static_cast<std::size_t>(system));
                std::unique_ptr<common::duty> slower;
                if (slow > 0) {
                    slower = slow_targets(served.targets, slow, seed);
                }
                const auto records =
                    run_load(context, {served.caller_endpoints,
                                       duration,
                                       {"--rate", "400", "--short-path", "/short", "--workers", "100",
                                        "--timeout-ms", "6000", "--callers", "50"}});
                if (!records) {
                    return tl::unexpected(records.error());
                }
                const auto latencies = answered_latencies(*records, "short");
                const std::string name = "slowed." + std::to_string(slow) + "of10";
                context.figures.add(system, name + ".p50", "ms", percentile(latencies, 0.5));
                context.figures.add(system, name + ".p99", "ms", percentile(latencies, 0.99));
                context.figures.add(system, name + ".p99.9", "ms", percentile(latencies, 0.999));
                context.figures.add(system, name + ".answered", "share",
                                    static_cast<double>(latencies.size()) /
                                        static_cast<double>(std::max<std::size_t>(1, records->size())));
            }
        }
    }
    return {};
}

result<void> run(const head_of_line&, measurement_context& context) {
    const milliseconds duration = context.options.quick ? 4s : 5s;
    // The target's default processing time is that of an upload; short requests set 50 ms in a header.
    auto meshes = start_both(context, {3, 12, 2s, service_resources("peak_ewma", "5s", false), false},
                             {3, 12, 2s, service_resources("random_choice", "5s", false), true});
    if (!meshes) {
        return tl::unexpected(meshes.error());
    }
    for (std::size_t round = 0; round < context.options.rounds; ++round) {
        for (const measured_system system : both_systems) {
            const served_mesh& served = meshes->at(static_cast<std::size_t>(system));
            const auto without = measure_short_requests(context, short_and_uploads(served, duration, 60, 0));
            // 20 uploads per second of two seconds each need 40 slots, which is more than the 36 available.
            const auto with = measure_short_requests(context, short_and_uploads(served, duration, 60, 20));
            if (!without || !with) {
                return tl::unexpected(!without ? without.error() : with.error());
            }
            context.figures.add(system, "head-of-line.without_uploads.short.p99", "ms", without->p99);
            context.figures.add(system, "head-of-line.with_uploads.short.p99", "ms", with->p99);
            context.figures.add(system, "head-of-line.with_uploads.short.answered", "share",
                                with->answered_share);
            context.figures.add(system, "head-of-line.with_uploads.uploads_answered", "per s",
                                with->uploads_answered);
        }
    }
    return {};
}

} // namespace boragehollow::measure
