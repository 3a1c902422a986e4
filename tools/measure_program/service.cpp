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

/// A mesh with a target on each daemon, and where callers enter.
struct served_mesh {
    std::unique_ptr<test_mesh> mesh;
    std::vector<common::endpoint> targets;
    std::vector<common::endpoint> entrances;
};

struct service_plan {
    std::size_t targets = 10;
    std::size_t slots = 6;
    milliseconds work{0};
    std::string resources;
    bool shared_fifo = false;
};

result<served_mesh> start_service(context& shared, const service_plan& plan) {
    mesh_plan settings{{1, plan.targets}, {{"limits.caller_threads", "160"}}, true};
    if (plan.shared_fifo) {
        settings.settings["baseline.admission"] = "\"off_shared_fifo\"";
    }
    auto mesh = test_mesh::start(shared, settings);
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    served_mesh served{std::move(*mesh), {}, {}};
    for (std::size_t daemon = 0; daemon < plan.targets; ++daemon) {
        const auto target = served.mesh->start_target(shared, daemon, {"desk", plan.slots, plan.work});
        if (!target) {
            return tl::unexpected(target.error());
        }
        served.targets.push_back(*target);
        served.entrances.push_back(served.mesh->place(daemon).callers);
    }
    const auto version = served.mesh->apply(plan.resources, 0, shared.random);
    if (!version) {
        return tl::unexpected(version.error());
    }
    if (auto reached = served.mesh->wait_in_force(*version, 30s); !reached) {
        return tl::unexpected(reached.error());
    }
    // The announcements reach all daemons with the next gossip rounds and the table synchronisation.
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

constexpr std::array<side, 2> both_sides{side::product, side::baseline};

// Crest.

constexpr milliseconds crest_step = 2s;
constexpr double crest_deadline_ms = 300;
constexpr std::array<double, 5> crest_levels{0.5, 1, 2, 4, 0.5};
constexpr double crest_capacity = 10 * 6 / 0.1; ///< Targets, slots and service time.

std::string crest_name(std::size_t step) {
    constexpr std::array<const char*, 5> names{"0.5x", "1x", "2x", "4x", "0.5x_after"};
    return std::string("crest.") + names.at(step);
}

struct crest_step_result {
    double answered_share = 0;
    double useful_work = 0; ///< Share of the capacity.
};

std::array<crest_step_result, 5> judge_crest(const std::vector<load_answer>& answers,
                                             milliseconds step_length) {
    std::array<double, 5> arrived{};
    std::array<double, 5> in_time{};
    for (const load_answer& answer : answers) {
        const auto step =
            static_cast<std::size_t>(answer.intended_ms / static_cast<double>(step_length.count()));
        if (step >= arrived.size()) {
            continue;
        }
        arrived.at(step) += 1;
        in_time.at(step) += answer.answered && answer.latency_ms <= crest_deadline_ms ? 1 : 0;
    }
    std::array<crest_step_result, 5> results{};
    const double seconds = std::chrono::duration<double>(step_length).count();
    for (std::size_t step = 0; step < results.size(); ++step) {
        results.at(step) = {arrived.at(step) > 0 ? in_time.at(step) / arrived.at(step) : 0,
                            in_time.at(step) / seconds / crest_capacity};
    }
    return results;
}

/// Each request has a connection of its own: an idle one would hold one of the daemon's threads for callers.
load_plan crest_load(const served_mesh& served, milliseconds step_length) {
    load_plan plan{served.entrances,
                   step_length * crest_levels.size(),
                   {"--rate", std::to_string(crest_levels.at(0) * crest_capacity), "--short-path", "/short",
                    "--deadline-ms", std::to_string(static_cast<int>(crest_deadline_ms)), "--workers", "1000",
                    "--fresh-connections", "--timeout-ms", "5000", "--callers", "50"}};
    for (std::size_t step = 1; step < crest_levels.size(); ++step) {
        const auto at = step_length * step;
        plan.arguments.insert(plan.arguments.end(),
                              {"--step", std::to_string(at.count()) + ":" +
                                             std::to_string(crest_levels.at(step) * crest_capacity)});
    }
    return plan;
}

void draw_crest(const context& shared) {
    if (shared.options.svg_folder.empty()) {
        return;
    }
    chart drawing{"Requests answered within their deadline", "load, times the capacity", "share", {}};
    for (const side of : both_sides) {
        chart_series series{of == side::product ? "product" : "baseline", {}};
        for (std::size_t step = 0; step + 1 < crest_levels.size(); ++step) {
            const auto values = shared.figures.values(of, crest_name(step) + ".in_deadline");
            series.points.emplace_back(crest_levels.at(step), median(values));
        }
        drawing.series.push_back(std::move(series));
    }
    write_svg(drawing, shared.options.svg_folder / "crest.svg");
}

// Slowed targets.

/// Slows `count` targets tenfold for a second every two seconds; each reports no load at all while it lasts.
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

load_plan short_and_uploads(const served_mesh& served, milliseconds duration, double shorts, double uploads) {
    return {served.entrances,
            duration,
            {"--rate",
             std::to_string(shorts + uploads),
             "--short",
             std::to_string(shorts),
             "--upload",
             std::to_string(uploads),
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

result<upload_round> judge_shorts(context& shared, const load_plan& plan) {
    const auto answers = run_load(shared, plan);
    if (!answers) {
        return tl::unexpected(answers.error());
    }
    double shorts = 0;
    for (const load_answer& answer : *answers) {
        shorts += answer.kind == "short" ? 1 : 0;
    }
    const auto latencies = answered_latencies(*answers, "short");
    const double seconds = std::chrono::duration<double>(plan.duration).count();
    return upload_round{percentile(latencies, 0.99),
                        shorts > 0 ? static_cast<double>(latencies.size()) / shorts : 0,
                        static_cast<double>(answered_latencies(*answers, "upload").size()) / seconds};
}

/// Starts the product and its baseline.
result<std::array<served_mesh, 2>> start_both(context& shared, const service_plan& product,
                                              const service_plan& baseline) {
    auto first = start_service(shared, product);
    if (!first) {
        return tl::unexpected(first.error());
    }
    auto second = start_service(shared, baseline);
    if (!second) {
        return tl::unexpected(second.error());
    }
    return std::array<served_mesh, 2>{std::move(*first), std::move(*second)};
}

} // namespace

result<void> run(const crest&, context& shared) {
    const milliseconds step_length = shared.options.quick ? crest_step / 2 : crest_step;
    auto meshes = start_both(shared, {10, 6, 100ms, service_resources("peak_ewma", "300ms", false), false},
                             {10, 6, 100ms, service_resources("random_choice", "300ms", false), true});
    if (!meshes) {
        return tl::unexpected(meshes.error());
    }
    for (std::size_t round = 0; round < shared.options.rounds; ++round) {
        for (const side of : both_sides) {
            const auto answers =
                run_load(shared, crest_load(meshes->at(static_cast<std::size_t>(of)), step_length));
            if (!answers) {
                return tl::unexpected(answers.error());
            }
            const auto results = judge_crest(*answers, step_length);
            for (std::size_t step = 0; step < results.size(); ++step) {
                shared.figures.add(of, crest_name(step) + ".in_deadline", "share",
                                   results.at(step).answered_share);
                shared.figures.add(of, crest_name(step) + ".useful_work", "of capacity",
                                   results.at(step).useful_work);
            }
        }
    }
    draw_crest(shared);
    return {};
}

result<void> run(const slowed&, context& shared) {
    const milliseconds duration = shared.options.quick ? 4s : 5s;
    auto meshes = start_both(shared, {10, 6, 50ms, service_resources("peak_ewma", "5s", true), false},
                             {10, 6, 50ms, service_resources("round_robin", "5s", false), false});
    if (!meshes) {
        return tl::unexpected(meshes.error());
    }
    for (std::size_t round = 0; round < shared.options.rounds; ++round) {
        for (const std::size_t slow : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
            const std::uint64_t seed = shared.random.index(1'000'000);
            for (const side of : both_sides) {
                const served_mesh& served = meshes->at(static_cast<std::size_t>(of));
                std::unique_ptr<common::duty> slower;
                if (slow > 0) {
                    slower = slow_targets(served.targets, slow, seed);
                }
                const auto answers =
                    run_load(shared, {served.entrances,
                                      duration,
                                      {"--rate", "400", "--short-path", "/short", "--workers", "100",
                                       "--timeout-ms", "6000", "--callers", "50"}});
                if (!answers) {
                    return tl::unexpected(answers.error());
                }
                const auto latencies = answered_latencies(*answers, "short");
                const std::string name = "slowed." + std::to_string(slow) + "of10";
                shared.figures.add(of, name + ".p50", "ms", percentile(latencies, 0.5));
                shared.figures.add(of, name + ".p99", "ms", percentile(latencies, 0.99));
                shared.figures.add(of, name + ".p99.9", "ms", percentile(latencies, 0.999));
                shared.figures.add(of, name + ".answered", "share",
                                   static_cast<double>(latencies.size()) /
                                       static_cast<double>(std::max<std::size_t>(1, answers->size())));
            }
        }
    }
    return {};
}

result<void> run(const head_of_line&, context& shared) {
    const milliseconds duration = shared.options.quick ? 4s : 5s;
    // The target's own work is that of an upload; short requests ask for 50 ms.
    auto meshes = start_both(shared, {3, 12, 2s, service_resources("peak_ewma", "5s", false), false},
                             {3, 12, 2s, service_resources("random_choice", "5s", false), true});
    if (!meshes) {
        return tl::unexpected(meshes.error());
    }
    for (std::size_t round = 0; round < shared.options.rounds; ++round) {
        for (const side of : both_sides) {
            const served_mesh& served = meshes->at(static_cast<std::size_t>(of));
            const auto without = judge_shorts(shared, short_and_uploads(served, duration, 60, 0));
            // 20 uploads of two seconds a second ask for more than the 36 slots.
            const auto with = judge_shorts(shared, short_and_uploads(served, duration, 60, 20));
            if (!without || !with) {
                return tl::unexpected(!without ? without.error() : with.error());
            }
            shared.figures.add(of, "head-of-line.without_uploads.short.p99", "ms", without->p99);
            shared.figures.add(of, "head-of-line.with_uploads.short.p99", "ms", with->p99);
            shared.figures.add(of, "head-of-line.with_uploads.short.answered", "share", with->answered_share);
            shared.figures.add(of, "head-of-line.with_uploads.uploads_answered", "per s",
                               with->uploads_answered);
        }
    }
    return {};
}

} // namespace boragehollow::measure
