#include "control_api.hpp"
#include "measurements.hpp"
#include "svg_chart.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <thread>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds change_interval = 250ms;
constexpr milliseconds convergence_timeout = 30s;
constexpr int timeline_attempts = 8;
constexpr std::uint16_t config_applied = 1301;
constexpr std::uint16_t config_rejected = 1302;
constexpr std::uint16_t snapshot_loaded = 1306;

struct sent_change {
    std::uint64_t version = 0;
    common::wall_time sent{};
};

/// Convergence times of all daemons and changes, by phase.
using samples = std::map<std::string, std::vector<double>>;

std::string change_document(measurement_context& context) {
    return R"({"kind": "route", "name": "probe", "path_prefix": "/probe-)" +
           context.random.identifier().substr(0, 8) + R"(", "service": "probe"})";
}

std::optional<std::uint64_t> version_of(const telemetry::timeline_event& event) {
    const bool applied =
        event.number == config_applied || event.number == config_rejected || event.number == snapshot_loaded;
    const auto field = event.fields.find("version");
    if (!applied || field == event.fields.end()) {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    std::from_chars(field->second.data(), field->second.data() + field->second.size(), version);
    return version;
}

/// When the daemon first reached `version` or a newer one. The events may come from any daemon, since each
/// one serves the timeline of the whole mesh.
std::optional<common::wall_time> applied_at(const std::vector<telemetry::timeline_event>& events,
                                            const std::string& host, std::uint64_t version) {
    std::optional<common::wall_time> first;
    for (const telemetry::timeline_event& event : events) {
        const auto applied = version_of(event);
        if (event.host == host && applied && *applied >= version && (!first || event.at.wall < *first)) {
            first = event.at.wall;
        }
    }
    return first;
}

/// Milliseconds from submitting each change until one daemon applied it. A busy daemon omits its events from
/// the response, so the request is retried.
result<std::vector<double>> activation_delays(const scenario::daemon_endpoints& endpoints,
                                              const std::vector<sent_change>& changes) {
    std::string missing = "no timeline";
    for (int attempt = 0; attempt < timeline_attempts; ++attempt) {
        const auto events = scenario::control_api::read_timeline(endpoints.operators);
        std::vector<double> times;
        for (const sent_change& change : changes) {
            const auto at = events ? applied_at(*events, endpoints.name, change.version) : std::nullopt;
            if (!at) {
                missing = "no event of version " + std::to_string(change.version);
                break;
            }
            times.push_back(std::chrono::duration<double, std::milli>(*at - change.sent).count());
        }
        if (times.size() == changes.size()) {
            return times;
        }
        std::this_thread::sleep_for(change_interval);
    }
    return tl::unexpected(endpoints.name + " has " + missing);
}

result<std::vector<double>> measure_changes(measurement_context& context, test_mesh& mesh) {
    const int count = context.options.quick ? 4 : 10;
    const std::vector<std::size_t> live = mesh.live();
    std::vector<sent_change> changes;
    for (int i = 0; i < count; ++i) {
        const std::size_t via = live.at(context.random.index(live.size()));
        const std::string document = change_document(context);
        const common::wall_time sent = common::wall_now();
        const auto version = mesh.apply(document, via, context.random);
        if (!version) {
            return tl::unexpected("cannot submit a change: " + version.error());
        }
        changes.push_back({*version, sent});
        std::this_thread::sleep_for(change_interval);
    }
    if (auto reached = mesh.wait_until_applied(changes.back().version, convergence_timeout); !reached) {
        return tl::unexpected(reached.error());
    }
    std::vector<double> times;
    for (const std::size_t daemon : live) {
        const auto applied = activation_delays(mesh.endpoints(daemon), changes);
        if (!applied) {
            return tl::unexpected(applied.error());
        }
        times.insert(times.end(), applied->begin(), applied->end());
    }
    return times;
}

/// Returns a daemon with the log reader role, so that the loss of the role is measured; otherwise any daemon.
std::size_t choose_daemon_to_kill(measurement_context& context, const test_mesh& mesh) {
    const std::vector<std::size_t> live = mesh.live();
    for (const std::size_t daemon : live) {
        const auto events = scenario::control_api::read_timeline(mesh.endpoints(daemon).operators);
        const bool reader = events && std::any_of(events->begin(), events->end(), [&](const auto& event) {
                                return event.number == 1201 && event.host == mesh.endpoints(daemon).name;
                            });
        if (reader) {
            return daemon;
        }
    }
    return live.at(context.random.index(live.size()));
}

result<void> measure_mesh(measurement_context& context, measured_system system, const mesh_size& size,
                          samples& all) {
    mesh_plan plan{size, {}, true};
    if (system == measured_system::baseline) {
        plan.settings["baseline.log_reading"] = "\"every_daemon\"";
    }
    const auto begun = common::steady_clock::now();
    auto mesh = test_mesh::start(context, plan);
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    const auto joined = std::chrono::duration<double>(common::steady_clock::now() - begun);
    context.figures.add(system, "convergence." + to_string(size) + ".start_until_all_know_all", "s",
                        joined.count());
    const std::string policy = R"({"kind": "service_policy", "name": "probe"})";
    const auto applied = (*mesh)->apply(policy, 0, context.random);
    if (!applied) {
        return tl::unexpected(applied.error());
    }
    if (auto reached = (*mesh)->wait_until_applied(*applied, convergence_timeout); !reached) {
        return tl::unexpected(reached.error());
    }
    const std::size_t third = size.daemons() / 3;
    for (const std::size_t dead : {std::size_t{0}, std::size_t{1}, third}) {
        // The changes are submitted immediately, before the failure detector notices that the daemon is dead.
        while ((*mesh)->live().size() > size.daemons() - dead) {
            (*mesh)->kill(choose_daemon_to_kill(context, **mesh));
        }
        const auto times = measure_changes(context, **mesh);
        if (!times) {
            return tl::unexpected(times.error());
        }
        const std::string name = "convergence." + to_string(size) + ".dead" + std::to_string(dead);
        context.figures.add(system, name + ".p50", "ms", percentile(*times, 0.5));
        context.figures.add(system, name + ".p99", "ms", percentile(*times, 0.99));
        context.figures.add(system, name + ".worst", "ms", percentile(*times, 1));
        std::vector<double>& pool =
            all[name + (system == measured_system::product ? " product" : " every_daemon")];
        pool.insert(pool.end(), times->begin(), times->end());
    }
    return {};
}

void write_chart(const measurement_context& context, const samples& all) {
    if (context.options.svg_folder.empty()) {
        return;
    }
    chart drawing{"Time until a change is applied, by share of daemons", "ms", "share", {}};
    const std::string largest = "convergence." + to_string(context.options.sizes.back());
    for (const auto& [name, times] : all) {
        if (!name.starts_with(largest)) {
            continue;
        }
        chart_series series{name.substr(largest.size() + 1), {}};
        for (int step = 0; step <= 100; ++step) {
            series.points.emplace_back(percentile(times, step / 100.0), step / 100.0);
        }
        drawing.series.push_back(std::move(series));
    }
    write_svg(drawing, context.options.svg_folder / "convergence.svg");
}

} // namespace

result<void> run(const convergence&, measurement_context& context) {
    samples all;
    for (const mesh_size& size : context.options.sizes) {
        for (std::size_t round = 0; round < context.options.rounds; ++round) {
            for (const measured_system system : {measured_system::product, measured_system::baseline}) {
                if (auto measured = measure_mesh(context, system, size, all); !measured) {
                    return tl::unexpected(to_string(size) + ": " + measured.error());
                }
            }
        }
    }
    write_chart(context, all);
    return {};
}

} // namespace boragehollow::measure
